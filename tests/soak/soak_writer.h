#ifndef TESTS_SOAK_SOAK_WRITER_H
#define TESTS_SOAK_SOAK_WRITER_H

#include "platform/emulator/store_service.h"
#include "tests/soak/soak_course.h"

namespace bw::soak {

/// Another writer, which keeps odd entries of all kinds in the store and writes
/// some of them again and again.
class soak_writer {
public:
  soak_writer(soak_course &Course, platform::store_service &Store)
      : Course(Course), Store(Store) {}

  /// Plans the writes between the two times.
  void plan(time_point First, time_point Last);
  /// Number of entries written.
  std::size_t writes() const { return Writes; }

private:
  void write(std::uint64_t Number);

  soak_course &Course;
  platform::store_service &Store;
  std::size_t Writes = 0;
};

} // namespace bw::soak

#endif
