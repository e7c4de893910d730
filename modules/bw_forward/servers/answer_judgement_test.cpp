#include "bw_forward/servers/answer_judgement.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;

namespace {

struct judgement_case {
  const char *Failure;
  int Status;
  http_headers Headers;
  answer_judgement Expected;
};

const std::vector<judgement_case> &cases() {
  static const std::vector<judgement_case> Cases = {
      {"a whole answer is refused",
       200,
       {{"Bw-Request-Id", "mine"}, {"Proof", "p"}},
       answer_judgement::Usable},
      {"the late answer to another request is handed on",
       200,
       {{"Bw-Request-Id", "other"}, {"Proof", "p"}},
       answer_judgement::OtherRequest},
      {"an answer that names no request is handed on",
       200,
       {{"Proof", "p"}},
       answer_judgement::Unusable},
      {"a success without the server's proof is handed on",
       200,
       {{"Bw-Request-Id", "mine"}},
       answer_judgement::Unusable},
      {"an encoded body is handed on",
       200,
       {{"Bw-Request-Id", "mine"},
        {"Proof", "p"},
        {"Content-Encoding", "gzip"}},
       answer_judgement::Unusable},
      {"a declined request counts as run",
       503,
       {{"Bw-Request-Id", "mine"}, {"Bw-Not-Run", "1"}},
       answer_judgement::NotExecuted},
      {"another server at the address counts as run",
       421,
       {},
       answer_judgement::NotExecuted},
      {"a decline of another request frees this one for a second run",
       503,
       {{"Bw-Request-Id", "other"}, {"Bw-Not-Run", "1"}},
       answer_judgement::OtherRequest},
      {"a promise that the server did not make is handed on",
       503,
       {{"Bw-Request-Id", "mine"}},
       answer_judgement::Unusable},
      {"the server's own error is hidden",
       500,
       {{"Bw-Request-Id", "mine"}},
       answer_judgement::Usable},
      {"the server's refusal is hidden",
       404,
       {{"Bw-Request-Id", "mine"}},
       answer_judgement::Usable},
  };
  return Cases;
}

} // namespace

class answer_judgement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(answer_judgement_test);
  CPPUNIT_TEST(tellsWhatMayBeHandedOn);
  CPPUNIT_TEST_SUITE_END();

public:
  void tellsWhatMayBeHandedOn() {
    const relay_headers Names{.Signature = "Proof"};
    for (const judgement_case &Case : cases()) {
      const http1_head Head{.Status = Case.Status, .Headers = Case.Headers};
      CPPUNIT_ASSERT_MESSAGE(Case.Failure,
                             judgeAnswer(Head, "mine", Names) == Case.Expected);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_judgement_test);
