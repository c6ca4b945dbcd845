// Calls to the platform's table service, object store and list of VMs.
//
// A table row has a version that increases with each change; 0 means that the
// row does not exist. A transaction checks versions and writes rows
// atomically. A reply may be lost after the change took effect, which is
// reported as kUnavailable.

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

// Reads at most `limit` rows whose key begins with the prefix, in descending
// order of key.
struct ScanRowsCall {
  std::string prefix;
  int limit = 0;
};

// Requires that the row has this version; 0 if it must not exist.
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
  kUnavailable,  // No reply. A change may have taken effect.
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
  std::vector<Row> rows;      // For ReadRowCall and ScanRowsCall.
  std::string body;           // For ReadObjectCall.
  std::vector<ListedVm> vms;  // For ListVmsCall.
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_PLATFORM_MESSAGE_H_
