// Reads JSON and CBOR documents of other writers, within limits: nesting, the
// range of each number, and names that are sent in the wire protocol.
//
//   try {
//     nlohmann::json document = ParseJsonObject(text);
//     slots = IntegerField(document, "slots", 1, kMaxSlots);
//   } catch (const BadDocument& e) {
//     Skip(e.what());
//   }
//
// Every function throws BadDocument if the document or the field is missing, of
// another type, or out of its limits. The message names the field, its value
// and what is allowed. It is printable and short.
//
// Limits: include from .cc files only; the JSON library is slow to compile.

#ifndef FIREFLYCART_CORE_BOUNDED_JSON_H_
#define FIREFLYCART_CORE_BOUNDED_JSON_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "fireflycart/core/clock.h"

namespace fireflycart {

// Nesting of arrays and objects. The JSON library copies, writes and reads CBOR
// recursively, so deeper documents could exhaust the stack.
constexpr size_t kMaxJsonDepth = 32;
// Durations up to this can be added to any time of this process, in
// milliseconds and in the nanoseconds of timers.
constexpr Duration kMaxDocumentDuration = Duration::Seconds(100'000'000);

class BadDocument : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

nlohmann::json ParseJson(const std::string& text);
nlohmann::json ParseJsonObject(const std::string& text);
nlohmann::json ParseCbor(const std::string& bytes);

const nlohmann::json& RequiredField(const nlohmann::json& object,
                                    const char* key);
const nlohmann::json& ArrayField(const nlohmann::json& object, const char* key);
const nlohmann::json& ObjectField(const nlohmann::json& object,
                                  const char* key);
bool BooleanField(const nlohmann::json& object, const char* key);
std::string TextField(const nlohmann::json& object, const char* key);
// A text that satisfies IsName of short_text.h.
std::string NameField(const nlohmann::json& object, const char* key);
// An integer in [min, max].
int64_t IntegerField(const nlohmann::json& object, const char* key, int64_t min,
                     int64_t max);
// The same, for any integer of the type uint64_t.
uint64_t UnsignedField(const nlohmann::json& object, const char* key);
// A number of milliseconds in [min, kMaxDocumentDuration]. A fraction is
// dropped.
Duration MillisField(const nlohmann::json& object, const char* key,
                     Duration min);

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_BOUNDED_JSON_H_
