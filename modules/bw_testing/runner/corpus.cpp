#include "bw_testing/runner/corpus.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

int bw::runCorpus(std::string_view Folder,
                  const std::function<void(std::string_view)> &Check) {
  int Count = 0;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder)) {
    std::ifstream File(Entry.path(), std::ios::binary);
    std::ostringstream Text;
    Text << File.rdbuf();
    Check(Text.str());
    ++Count;
  }
  return Count;
}
