#include "bw_measurement/delivery/delivery_ledger.h"

using namespace bw;

void delivery_ledger::expectSubmission(caller_request Request) {
  Records.at(Request.value()).Submission = true;
}

void delivery_ledger::ran(caller_request Request) {
  ++Records.at(Request.value()).Runs;
}

void delivery_ledger::told(caller_request Request, request_outcome Outcome) {
  record &Record = Records.at(Request.value());
  Record.ToldDone = Record.ToldDone || Outcome == request_outcome::Done;
  Record.ToldNotRun = Record.ToldNotRun || Outcome == request_outcome::NotRun;
}

void delivery_ledger::endedWrongly(caller_request Request) {
  Records.at(Request.value()).Wrong = true;
}

bool delivery_ledger::isSettled(caller_request Request) const {
  const record &Record = Records.at(Request.value());
  return Record.ToldDone || Record.ToldNotRun;
}

delivery_verdicts delivery_ledger::judge() const {
  delivery_verdicts Verdicts;
  for (const record &Record : Records) {
    ++Verdicts.Requests;
    Verdicts.WrongAnswers += Record.Wrong ? 1 : 0;
    Verdicts.Done += Record.ToldDone ? 1 : 0;
    Verdicts.NotRun += Record.ToldNotRun ? 1 : 0;
    Verdicts.Unknown += Record.ToldDone || Record.ToldNotRun ? 0 : 1;
    Verdicts.FalseNotRun += Record.ToldNotRun && Record.Runs > 0 ? 1 : 0;
    if (!Record.Submission)
      continue;
    ++Verdicts.Submissions;
    Verdicts.DoubleRuns += Record.Runs > 1 ? 1 : 0;
    Verdicts.FalseDone += Record.ToldDone && Record.Runs != 1 ? 1 : 0;
  }
  return Verdicts;
}
