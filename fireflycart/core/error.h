// Errors of the library. Each carries the step that failed and the peer.
//
//   throw Error(ErrorCode::kInvalidArgument, "parse configuration", "operator",
//               "groups[0].name: expected a name");

#ifndef FIREFLYCART_CORE_ERROR_H_
#define FIREFLYCART_CORE_ERROR_H_

#include <stdexcept>
#include <string>

namespace fireflycart {

enum class ErrorCode {
  kInvalidArgument,    // The input is malformed or out of range.
  kUnavailable,        // The peer cannot be reached or refuses for now.
  kProtocol,           // The peer violated the protocol.
  kInvariantViolated,  // The program's own state is inconsistent.
};

// Readable text of a code, for logs and messages.
const char* ErrorCodeText(ErrorCode code);

class Error : public std::runtime_error {
 public:
  // step: the operation that failed. peer: the other party, empty if none.
  Error(ErrorCode code, std::string step, std::string peer,
        const std::string& detail);

  ErrorCode code() const { return code_; }
  const std::string& step() const { return step_; }
  const std::string& peer() const { return peer_; }

 private:
  ErrorCode code_;
  std::string step_;
  std::string peer_;
};

// Throws kInvariantViolated if the condition does not hold. Always compiled in.
void CheckInvariant(bool holds, const char* step, const std::string& detail);

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_ERROR_H_
