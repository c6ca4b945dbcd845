// The main function of a stand-in's process.
//
//   int main(int argc, char** argv) {
//     return fireflycart::RunStandin(argc, argv, "Stand-in for ...", Run);
//   }

#ifndef FIREFLYCART_STANDINS_STANDIN_MAIN_H_
#define FIREFLYCART_STANDINS_STANDIN_MAIN_H_

namespace fireflycart {

// Parses the flags, blocks the signals that stop the process and runs it.
// Prints an exception and returns 1.
int RunStandin(int argc, char** argv, const char* usage, int (*run)());

}  // namespace fireflycart

#endif  // FIREFLYCART_STANDINS_STANDIN_MAIN_H_
