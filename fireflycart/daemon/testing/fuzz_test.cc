// Runs each fuzz target on seeded mutations of valid inputs. A failure prints
// target, seed, input number and input.
//
//   fireflycart_fuzz_test --seed=1 --inputs=20000

#include <array>
#include <iostream>
#include <random>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "fireflycart/core/error.h"
#include "fireflycart/daemon/testing/fuzz_targets.h"

ABSL_FLAG(uint64_t, seed, 1, "Seed of the mutations.");
ABSL_FLAG(int, inputs, 20000, "Number of inputs for each target.");

namespace fireflycart {
namespace {

constexpr char kDigits[] = "0123456789";
constexpr size_t kMaxShownBytes = 4096;
constexpr size_t kMaxLevels = size_t{200} << 10;
// One of so many changes inserts nested containers, which are slow to parse.
constexpr size_t kNestingRarity = 50;

struct Container {
  const char* opening;
  const char* closing;
};

// An array and an object, in JSON and in CBOR.
constexpr std::array<Container, 4> kContainers = {
    {{"[", "]"}, {"{\"a\":", "}"}, {"\x81", ""}, {"\xa1\x61\x61", ""}}};
// A number in JSON and in CBOR.
constexpr char kInnermost[] = "1";
constexpr std::array<const char*, 10> kOddNumbers = {"-1",
                                                     "0",
                                                     "2147483648",
                                                     "4294967297",
                                                     "9223372036854775807",
                                                     "18446744073709551615",
                                                     "18446744073709551616",
                                                     "1e300",
                                                     "-1e300",
                                                     "1e400"};

std::string Repeat(const std::string& text, size_t count) {
  std::string repeated;
  for (size_t i = 0; i < count; i++) repeated += text;
  return repeated;
}

// Puts nested containers in place of the next number, or at the end.
std::string Nest(const std::string& input, size_t position,
                 const Container& container, size_t levels) {
  std::string nested = Repeat(container.opening, levels) + kInnermost +
                       Repeat(container.closing, levels);
  size_t start = input.find_first_of(kDigits, position);
  if (start == std::string::npos) return input.substr(0, position) + nested;
  size_t end = input.find_first_not_of(kDigits, start);
  std::string rest = end == std::string::npos ? "" : input.substr(end);
  return input.substr(0, start) + nested + rest;
}

// Replaces the first number at or after the position.
void ReplaceNumber(size_t position, const std::string& number,
                   std::string* input) {
  size_t start = input->find_first_of(kDigits, position);
  if (start == std::string::npos) return;
  size_t end = input->find_first_not_of(kDigits, start);
  input->replace(start, end == std::string::npos ? end : end - start, number);
}

std::string Mutate(std::string input, std::mt19937_64* random) {
  auto draw = [random](size_t bound) { return (*random)() % bound; };
  size_t changes = 1 + draw(4);
  for (size_t i = 0; i < changes; i++) {
    size_t position = input.empty() ? 0 : draw(input.size());
    switch (draw(6)) {
      case 0:
        if (!input.empty()) input[position] = static_cast<char>(draw(256));
        break;
      case 1:
        input.insert(position, 1, static_cast<char>(draw(256)));
        break;
      case 2:
        if (!input.empty()) input.erase(position, 1 + draw(8));
        break;
      case 3:
        input.insert(position, input.substr(position, draw(32)));
        break;
      case 4:
        if (draw(kNestingRarity) == 0) {
          input = Nest(input, position, kContainers[draw(kContainers.size())],
                       draw(kMaxLevels));
        } else {
          ReplaceNumber(position, kOddNumbers[draw(kOddNumbers.size())],
                        &input);
        }
        break;
      default:
        if (!input.empty()) {
          input[position] = static_cast<char>(input[position] ^ (1 << draw(8)));
        }
        break;
    }
  }
  return input;
}

// Prints the input and returns false if it violates an invariant or leads to an
// exception other than Error.
bool RunTarget(const FuzzTarget& target, uint64_t seed, int inputs) {
  std::mt19937_64 random(seed);
  int refused = 0;
  for (int i = 0; i < inputs; i++) {
    const std::string& start =
        target.seeds[static_cast<size_t>(i) % target.seeds.size()];
    std::string input = i < static_cast<int>(target.seeds.size())
                            ? start
                            : Mutate(start, &random);
    try {
      target.run(input);
    } catch (const Error& e) {
      if (e.code() == ErrorCode::kInvariantViolated) {
        std::cout << target.name << " seed " << seed << " input " << i << ": "
                  << e.what() << "\n"
                  << input.substr(0, kMaxShownBytes) << "\n";
        return false;
      }
      refused++;
    } catch (const std::exception& e) {
      std::cout << target.name << " seed " << seed << " input " << i
                << ": unexpected exception: " << e.what() << "\n"
                << input.substr(0, kMaxShownBytes) << "\n";
      return false;
    }
  }
  std::cout << target.name << ": " << inputs << " inputs, " << refused
            << " refused\n";
  return true;
}

}  // namespace
}  // namespace fireflycart

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  bool passed = true;
  for (const fireflycart::FuzzTarget& target : fireflycart::FuzzTargets()) {
    bool target_passed = fireflycart::RunTarget(
        target, absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_inputs));
    passed = passed && target_passed;
  }
  return passed ? 0 : 1;
}
