// The document is built from the events of the library's parser, which stops
// when an event is refused. So a document that is nested too deeply is never
// built, and its parser, which recurses for CBOR, never goes deeper.
//
// A number is compared with its range before it is converted, since a
// conversion beyond the range of the type is undefined or wraps.

#include "fireflycart/core/bounded_json.h"

#include <limits>
#include <utility>
#include <vector>

#include "fireflycart/core/short_text.h"

namespace fireflycart {
namespace {

using nlohmann::json;

class Builder : public nlohmann::json_sax<json> {
 public:
  json Take() { return std::move(root_); }
  const std::string& problem() const { return problem_; }

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(int64_t value) override { return Add(value); }
  bool number_unsigned(uint64_t value) override { return Add(value); }
  bool number_float(double value, const std::string& text) override {
    (void)text;
    return Add(value);
  }
  bool string(std::string& value) override { return Add(std::move(value)); }
  bool binary(json::binary_t& value) override {
    return Add(json::binary(std::move(value)));
  }
  bool key(std::string& value) override {
    key_ = std::move(value);
    return true;
  }
  bool start_object(size_t size) override {
    (void)size;
    return Open(json::object());
  }
  bool start_array(size_t size) override {
    (void)size;
    return Open(json::array());
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  // Names the place only: the text there may be a secret of the document.
  bool parse_error(size_t position, const std::string& token,
                   const json::exception& error) override {
    (void)token;
    (void)error;
    if (!key_.empty()) problem_ = "after key " + ShortText(key_) + ": ";
    problem_ += "syntax error at byte " + std::to_string(position);
    return false;
  }

 private:
  bool Add(json value) {
    Place(std::move(value));
    return true;
  }

  bool Open(json empty) {
    if (open_.size() >= kMaxJsonDepth) {
      problem_ = "nested too deeply; allowed are " +
                 std::to_string(kMaxJsonDepth) + " levels";
      return false;
    }
    open_.push_back(Place(std::move(empty)));
    return true;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  // A container changes only while no container within it is open, so the
  // pointers to open containers stay valid.
  json* Place(json value) {
    if (open_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    json* parent = open_.back();
    if (parent->is_array()) {
      parent->push_back(std::move(value));
      return &parent->back();
    }
    json* member = &(*parent)[key_];
    *member = std::move(value);
    return member;
  }

  json root_;
  std::vector<json*> open_;
  std::string key_;
  std::string problem_;
};

std::string Shown(const json& field) {
  return ShortText(field.dump(-1, ' ', false, json::error_handler_t::replace));
}

[[noreturn]] void Refuse(const char* key, const json& field,
                         const std::string& allowed) {
  throw BadDocument(std::string(key) + " is " + Shown(field) + "; allowed is " +
                    allowed);
}

}  // namespace

json ParseJson(const std::string& text) {
  Builder builder;
  if (!json::sax_parse(text, &builder)) {
    throw BadDocument("document is not a JSON object: " + builder.problem());
  }
  return builder.Take();
}

json ParseJsonObject(const std::string& text) {
  json document = ParseJson(text);
  if (!document.is_object()) {
    throw BadDocument(
        std::string("document is not a JSON object, it is of type ") +
        document.type_name());
  }
  return document;
}

json ParseCbor(const std::string& bytes) {
  Builder builder;
  if (!json::sax_parse(bytes, &builder, json::input_format_t::cbor)) {
    throw BadDocument("document is not CBOR: " + builder.problem());
  }
  return builder.Take();
}

const json& RequiredField(const json& object, const char* key) {
  if (!object.is_object()) Refuse(key, object, "an object with this field");
  auto found = object.find(key);
  if (found == object.end()) {
    throw BadDocument(std::string(key) + " is missing");
  }
  return *found;
}

const json& ArrayField(const json& object, const char* key) {
  const json& field = RequiredField(object, key);
  if (!field.is_array()) Refuse(key, field, "an array");
  return field;
}

const json& ObjectField(const json& object, const char* key) {
  const json& field = RequiredField(object, key);
  if (!field.is_object()) Refuse(key, field, "an object");
  return field;
}

bool BooleanField(const json& object, const char* key) {
  const json& field = RequiredField(object, key);
  if (!field.is_boolean()) Refuse(key, field, "true or false");
  return field.get<bool>();
}

std::string TextField(const json& object, const char* key) {
  const json& field = RequiredField(object, key);
  if (!field.is_string()) Refuse(key, field, "a string");
  return field.get<std::string>();
}

std::string NameField(const json& object, const char* key) {
  std::string text = TextField(object, key);
  if (!IsName(text)) {
    Refuse(key, text,
           "1 to " + std::to_string(kMaxNameBytes) +
               " bytes of printable ASCII without blanks");
  }
  return text;
}

int64_t IntegerField(const json& object, const char* key, int64_t min,
                     int64_t max) {
  constexpr auto kMaxSigned =
      static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  const json& field = RequiredField(object, key);
  bool fits = field.is_number_unsigned() ? field.get<uint64_t>() <= kMaxSigned
                                         : field.is_number_integer();
  int64_t value = fits ? field.get<int64_t>() : 0;
  if (!fits || value < min || value > max) {
    Refuse(key, field,
           "an integer from " + std::to_string(min) + " to " +
               std::to_string(max));
  }
  return value;
}

uint64_t UnsignedField(const json& object, const char* key) {
  const json& field = RequiredField(object, key);
  // The parser stores a non-negative integer as unsigned.
  if (!field.is_number_unsigned()) Refuse(key, field, "an unsigned integer");
  return field.get<uint64_t>();
}

Duration MillisField(const json& object, const char* key, Duration min) {
  const json& field = RequiredField(object, key);
  double value = field.is_number() ? field.get<double>() : 0;
  bool is_valid = field.is_number() &&
                  value >= static_cast<double>(min.millis()) &&
                  value <= static_cast<double>(kMaxDocumentDuration.millis());
  if (!is_valid) {
    Refuse(key, field,
           "a number from " + std::to_string(min.millis()) + " to " +
               std::to_string(kMaxDocumentDuration.millis()));
  }
  return Duration::Millis(static_cast<int64_t>(value));
}

}  // namespace fireflycart
