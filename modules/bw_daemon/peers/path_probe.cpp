#include "bw_daemon/peers/path_probe.h"

#include "bw_peer/messages/peer_messages.h"

using namespace bw;

void path_probe::add(bool IsGood) {
  bool IsComplete = false;
  {
    const std::lock_guard Guard(Mutex);
    ++(IsGood ? Good : Bad);
    IsComplete = Good + Bad == ProbeCount;
  }
  if (IsComplete)
    answer();
}

void path_probe::answer() {
  wire::Head Head;
  {
    const std::lock_guard Guard(Mutex);
    Head.mutable_path_check_reply()->set_good(Good);
    Head.mutable_path_check_reply()->set_bad(Bad);
  }
  Stream.sendHead(std::move(Head));
  wire::End End;
  End.set_outcome(wire::End::COMPLETE);
  Stream.sendEnd(std::move(End));
}
