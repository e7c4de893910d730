#ifndef BW_TESTING_RUNNER_CORPUS_H
#define BW_TESTING_RUNNER_CORPUS_H

#include <functional>
#include <string_view>

namespace bw {

/// Calls the check with the content of every file in a folder below the source
/// tree. Returns the number of files.
int runCorpus(std::string_view Folder,
              const std::function<void(std::string_view)> &Check);

} // namespace bw

#endif
