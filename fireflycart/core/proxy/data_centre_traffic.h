// Counts the statements that a VM sends to other VMs and to upstreams, and the
// bytes of their texts and rows, inside its data centre and out of it.
//
//   DataCentreTraffic traffic(data_centre);
//   traffic.OnSent(upstream_data_centre, text.size());
//   traffic.OnRows(upstream_data_centre, rows);
//   uint64_t leaving = traffic.leaving().bytes;
//
// Limits: a place whose data centre is not known counts as inside. Headers and
// the calls between VMs that carry no statement are not counted.

#ifndef FIREFLYCART_CORE_PROXY_DATA_CENTRE_TRAFFIC_H_
#define FIREFLYCART_CORE_PROXY_DATA_CENTRE_TRAFFIC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "fireflycart/core/ids.h"

namespace fireflycart::proxy {

class DataCentreTraffic {
 public:
  struct Counts {
    uint64_t statements = 0;
    uint64_t bytes = 0;
  };

  explicit DataCentreTraffic(DataCentreId data_centre)
      : data_centre_(std::move(data_centre)) {}

  void OnSent(const DataCentreId& to, size_t bytes) {
    Counts& counts = CountsFor(to);
    counts.statements++;
    counts.bytes += bytes;
  }
  void OnRows(const DataCentreId& from, const std::vector<std::string>& rows) {
    Counts& counts = CountsFor(from);
    for (const std::string& row : rows) counts.bytes += row.size();
  }

  const Counts& inside() const { return inside_; }
  const Counts& leaving() const { return leaving_; }

 private:
  Counts& CountsFor(const DataCentreId& other) {
    bool is_inside = other == DataCentreId() || other == data_centre_;
    return is_inside ? inside_ : leaving_;
  }

  DataCentreId data_centre_;
  Counts inside_;
  Counts leaving_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_DATA_CENTRE_TRAFFIC_H_
