// Calls to the platform's table service, object store and list of VMs.
//
// A table row has a version that grows with each change; 0 means absent. A
// transaction checks versions and writes rows, all or nothing. An answer may
// be lost after the change took effect, which is reported as kUnavailable.

#ifndef FIREFLYCART_CORE_PLATFORM_MESSAGE_H_
#define FIREFLYCART_CORE_PLATFORM_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fireflycart/core/ids.h"
#include "fireflycart/core/peer_message.h"

namespace fireflycart {

struct ReadRowCall {
  std::string key;
};

// Rows whose key begins with the prefix, in order of key, the last ones first.
struct ScanRowsCall {
  std::string prefix;
  int limit = 0;
};

struct RowCheck {
  std::string key;
  uint64_t version = 0;
};

struct RowWrite {
  std::string key;
  std::string value;
};

struct TransactCall {
  std::vector<RowCheck> checks;
  std::vector<RowWrite> writes;
};

struct PutObjectCall {
  std::string name;
  std::string body;
};

struct ReadObjectCall {
  std::string name;
};

struct ListVmsCall {};

using PlatformCallBody =
    std::variant<ReadRowCall, ScanRowsCall, TransactCall, PutObjectCall,
                 ReadObjectCall, ListVmsCall>;

enum class PlatformCode {
  kOk,
  kNotFound,
  kConflict,     // A checked version differs. Nothing was written.
  kUnavailable,  // No answer. A change may have taken effect.
};

struct Row {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

struct ListedVm {
  VmId vm;
  std::string address;
  DataCentreId data_centre;
  bool leaving = false;
};

struct PlatformReply {
  PlatformCode code = PlatformCode::kUnavailable;
  std::vector<Row> rows;      // For reads and scans of rows.
  std::string body;           // For objects.
  std::vector<ListedVm> vms;  // For the list of VMs.
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_PLATFORM_MESSAGE_H_
