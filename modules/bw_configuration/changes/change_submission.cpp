#include "bw_configuration/changes/change_submission.h"

#include <algorithm>
#include <utility>

using namespace bw;

change_submission::change_submission(config_change Change,
                                     change_submission_options Options)
    : Change(std::move(Change)), Options(Options) {}

change_command change_submission::start() { return read_head{}; }

change_command change_submission::headRead(store_result Result,
                                           const config_head &Head) {
  switch (Result) {
  case store_result::Success:
    return proceed(Head);
  case store_result::Lost:
    return retry(read_head{});
  case store_result::Conflict:
  case store_result::Unavailable:
    return giveUp();
  }
  return giveUp();
}

change_command change_submission::proceed(const config_head &Head) {
  if (const applied_change *Own = findOwn(Head))
    return change_result{change_outcome::Accepted, Own->Version, *Own};
  if (Head.Version != Change.Expected) {
    // The head no longer lists all changes since the expected version, so this
    // change may have been applied and dropped from the list.
    const std::uint64_t Since = Head.Version.value() - Change.Expected.value();
    const bool HistoryTooShort =
        Head.Version > Change.Expected && Since > Head.Changes.size();
    if (HistoryTooShort)
      return change_result{change_outcome::Unknown, Head.Version, {}};
    const applied_change Winner =
        Head.Changes.empty() ? applied_change{} : Head.Changes.back();
    return change_result{change_outcome::Conflict, Head.Version, Winner};
  }
  Known = Head;
  if (NextChunk < Change.Chunks)
    return write_chunk{NextChunk};
  return update();
}

change_command change_submission::chunkWritten(store_result Result) {
  switch (Result) {
  case store_result::Success:
  case store_result::Conflict: // The chunk exists, with the same content.
    ++NextChunk;
    break;
  case store_result::Lost:
    return retry(write_chunk{NextChunk});
  case store_result::Unavailable:
    return giveUp();
  }
  if (NextChunk < Change.Chunks)
    return write_chunk{NextChunk};
  return update();
}

// After a lost answer the update is sent again only if the head is unchanged
// when read again. Both updates have the same condition, so at most one takes
// effect.
change_command change_submission::update() {
  update_head Update{Known.Object, Known};
  Update.Head.Version = Known.Version.next();
  auto &Changes = Update.Head.Changes;
  Changes.push_back({Change.Change, Update.Head.Version, Change.Applier});
  if (Changes.size() > Options.RetainedChanges)
    Changes.erase(Changes.begin());
  return Update;
}

change_command change_submission::headUpdated(store_result Result) {
  switch (Result) {
  case store_result::Success:
    return change_result{change_outcome::Accepted,
                         Known.Version.next(),
                         {Change.Change, Known.Version.next(), Change.Applier}};
  case store_result::Conflict:
    // The conflict may be with an earlier copy of this update.
    return retry(read_head{});
  case store_result::Lost:
    MayBeApplied = true;
    return retry(read_head{});
  case store_result::Unavailable:
    return giveUp();
  }
  return giveUp();
}

change_command change_submission::retry(change_command Command) {
  if (++Retries > Options.MaxRetries)
    return giveUp();
  return Command;
}

change_command change_submission::giveUp() const {
  const change_outcome Outcome =
      MayBeApplied ? change_outcome::Unknown : change_outcome::NotApplied;
  return change_result{Outcome, Known.Version, {}};
}

const applied_change *
change_submission::findOwn(const config_head &Head) const {
  const auto Found = std::find_if(Head.Changes.begin(), Head.Changes.end(),
                                  [&](const applied_change &Applied) {
                                    return Applied.Change == Change.Change;
                                  });
  return Found == Head.Changes.end() ? nullptr : &*Found;
}
