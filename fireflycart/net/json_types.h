// JSON form of the library's basic types, for the codecs of this package.
//
//   nlohmann::json json = term;
//   Term term = json.at("term").get<Term>();
//
// Limits: include from .cc files only; the JSON library is slow to compile.

#ifndef FIREFLYCART_NET_JSON_TYPES_H_
#define FIREFLYCART_NET_JSON_TYPES_H_

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/error.h"
#include "fireflycart/core/ids.h"

namespace fireflycart {

using Json = nlohmann::json;

template <typename Tag, typename Rep>
void to_json(Json& json, const StrongId<Tag, Rep>& id) {
  json = id.value();
}

template <typename Tag, typename Rep>
void from_json(const Json& json, StrongId<Tag, Rep>& id) {
  id = StrongId<Tag, Rep>(json.get<Rep>());
}

inline void to_json(Json& json, const Duration& duration) {
  json = duration.millis();
}

inline void from_json(const Json& json, Duration& duration) {
  duration = Duration::Millis(json.get<int64_t>());
}

// Returns one line of text; bytes that are not UTF-8 are replaced.
inline std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Reads a field into *value.
template <typename T>
void Read(const Json& json, const char* field, T* value) {
  *value = json.at(field).get<T>();
}

// Reads a field that is written as the number of an enumerator below `count`.
template <typename Enum>
void ReadEnum(const Json& json, const char* field, int count, Enum* value) {
  int number = json.at(field).get<int>();
  if (number < 0 || number >= count) {
    throw Error(
        ErrorCode::kProtocol, "decode enumerator", field,
        std::to_string(number) + " is not below " + std::to_string(count));
  }
  *value = static_cast<Enum>(number);
}

template <typename Enum>
int EnumNumber(Enum value) {
  return static_cast<int>(value);
}

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_JSON_TYPES_H_
