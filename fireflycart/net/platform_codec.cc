// Each call is an object whose field "call" has the name of its type.

#include "fireflycart/net/platform_codec.h"

#include "fireflycart/core/error.h"
#include "fireflycart/net/json_types.h"

namespace fireflycart {
namespace {

// Number of enumerators. Larger values are rejected.
constexpr int kPlatformCodes = 4;

Json ToJson(const ReadRowCall& c) {
  return {{"call", "read_row"}, {"key", c.key}};
}

Json ToJson(const ScanRowsCall& c) {
  return {{"call", "scan_rows"}, {"prefix", c.prefix}, {"limit", c.limit}};
}

Json ToJson(const TransactCall& c) {
  Json checks = Json::array();
  for (const RowCheck& check : c.checks) {
    checks.push_back({{"key", check.key}, {"version", check.version}});
  }
  Json writes = Json::array();
  for (const RowWrite& write : c.writes) {
    writes.push_back({{"key", write.key}, {"value", write.value}});
  }
  return {{"call", "transact"}, {"checks", checks}, {"writes", writes}};
}

Json ToJson(const PutObjectCall& c) {
  return {{"call", "put_object"}, {"name", c.name}, {"body", c.body}};
}

Json ToJson(const ReadObjectCall& c) {
  return {{"call", "read_object"}, {"name", c.name}};
}

Json ToJson(const ListVmsCall&) { return {{"call", "list_vms"}}; }

TransactCall TransactFromJson(const Json& json) {
  TransactCall call;
  for (const Json& item : json.at("checks")) {
    RowCheck check;
    Read(item, "key", &check.key);
    Read(item, "version", &check.version);
    call.checks.push_back(check);
  }
  for (const Json& item : json.at("writes")) {
    RowWrite write;
    Read(item, "key", &write.key);
    Read(item, "value", &write.value);
    call.writes.push_back(write);
  }
  return call;
}

PlatformCallBody CallFromJson(const Json& json, const std::string& peer) {
  std::string name = json.at("call").get<std::string>();
  if (name == "read_row") {
    ReadRowCall call;
    Read(json, "key", &call.key);
    return call;
  }
  if (name == "scan_rows") {
    ScanRowsCall call;
    Read(json, "prefix", &call.prefix);
    Read(json, "limit", &call.limit);
    return call;
  }
  if (name == "transact") return TransactFromJson(json);
  if (name == "put_object") {
    PutObjectCall call;
    Read(json, "name", &call.name);
    Read(json, "body", &call.body);
    return call;
  }
  if (name == "read_object") {
    ReadObjectCall call;
    Read(json, "name", &call.name);
    return call;
  }
  if (name == "list_vms") return ListVmsCall{};
  throw Error(ErrorCode::kProtocol, "decode platform call", peer,
              "call \"" + name + "\" is not known");
}

}  // namespace

std::string EncodePlatformCall(const PlatformCallBody& body) {
  return Dump(std::visit([](const auto& call) { return ToJson(call); }, body));
}

PlatformCallBody DecodePlatformCall(const std::string& text,
                                    const std::string& peer) {
  try {
    return CallFromJson(Json::parse(text), peer);
  } catch (const Json::exception& e) {
    throw Error(ErrorCode::kProtocol, "decode platform call", peer, e.what());
  }
}

std::string EncodePlatformReply(const PlatformReply& reply) {
  Json rows = Json::array();
  for (const Row& row : reply.rows) {
    rows.push_back(
        {{"key", row.key}, {"value", row.value}, {"version", row.version}});
  }
  Json vms = Json::array();
  for (const ListedVm& vm : reply.vms) {
    vms.push_back({{"vm", vm.vm},
                   {"address", vm.address},
                   {"data_centre", vm.data_centre},
                   {"leaving", vm.leaving}});
  }
  return Dump({{"code", EnumNumber(reply.code)},
               {"rows", rows},
               {"body", reply.body},
               {"vms", vms}});
}

PlatformReply DecodePlatformReply(const std::string& text,
                                  const std::string& peer) {
  try {
    Json json = Json::parse(text);
    PlatformReply reply;
    ReadEnum(json, "code", kPlatformCodes, &reply.code);
    Read(json, "body", &reply.body);
    for (const Json& item : json.at("rows")) {
      Row row;
      Read(item, "key", &row.key);
      Read(item, "value", &row.value);
      Read(item, "version", &row.version);
      reply.rows.push_back(row);
    }
    for (const Json& item : json.at("vms")) {
      ListedVm vm;
      Read(item, "vm", &vm.vm);
      Read(item, "address", &vm.address);
      Read(item, "data_centre", &vm.data_centre);
      Read(item, "leaving", &vm.leaving);
      reply.vms.push_back(vm);
    }
    return reply;
  } catch (const Json::exception& e) {
    throw Error(ErrorCode::kProtocol, "decode platform reply", peer, e.what());
  }
}

}  // namespace fireflycart
