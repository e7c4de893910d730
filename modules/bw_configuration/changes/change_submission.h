#ifndef BW_CONFIGURATION_CHANGES_CHANGE_SUBMISSION_H
#define BW_CONFIGURATION_CHANGES_CHANGE_SUBMISSION_H

#include "bw_configuration/changes/change_messages.h"

#include <optional>

namespace bw {

struct change_submission_options {
  /// Number of recent changes that the head keeps.
  std::size_t RetainedChanges = 64;
  /// Number of retries after lost answers and conflicts of the store before the
  /// submission is given up.
  unsigned MaxRetries = 6;
};

/// State machine that submits one operator change to the store. Each command is
/// answered by one call of an event function, which returns the next command;
/// `change_result` is the last. The head is updated conditionally, so at most
/// one of several concurrent changes is applied. After a lost answer the head
/// is read again before a result is reported. Not thread-safe.
class change_submission {
public:
  explicit change_submission(config_change Change,
                             change_submission_options Options = {});

  change_command start();

  /// Answer to `read_head`. `Head` is used for `Success` only. A store without
  /// a head answers with version 0 and an empty object position.
  change_command headRead(store_result Result, const config_head &Head);

  change_command chunkWritten(store_result Result);

  change_command headUpdated(store_result Result);

private:
  change_command retry(change_command Command);
  change_command proceed(const config_head &Head);
  change_command update();
  change_command giveUp() const;
  const applied_change *findOwn(const config_head &Head) const;

  config_change Change;
  change_submission_options Options;
  config_head Known;
  std::size_t NextChunk = 0;
  unsigned Retries = 0;
  /// An update was sent and its answer was lost.
  bool MayBeApplied = false;
};

} // namespace bw

#endif
