// Runs all tests that were registered with CppUnit, or those whose names
// contain the argument.

#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>
#include <string>

namespace {

void AddMatching(CppUnit::Test* test, const std::string& part,
                 CppUnit::TextUi::TestRunner* runner) {
  for (int i = 0; i < test->getChildTestCount(); i++) {
    AddMatching(test->getChildTestAt(i), part, runner);
  }
  bool matches = test->getChildTestCount() == 0 &&
                 test->getName().find(part) != std::string::npos;
  if (matches) runner->addTest(test);
}

}  // namespace

int main(int argc, char** argv) {
  CppUnit::TextUi::TestRunner runner;
  CppUnit::Test* all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  if (argc > 1) {
    AddMatching(all, argv[1], &runner);
  } else {
    runner.addTest(all);
  }
  runner.setOutputter(
      new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  return runner.run() ? 0 : 1;
}
