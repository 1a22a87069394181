#ifndef CELERYBEAM_REVIEW_RECORD_H
#define CELERYBEAM_REVIEW_RECORD_H

#include <fstream>
#include <mutex>
#include <string>

#include "wire.h"

namespace celerybeam::review {

/// The lines of record.txt: what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &Path) : Out_(Path) {}

  void line(const std::string &Text) {
    std::lock_guard Lock(Mutex_);
    auto Ms = std::chrono::duration_cast<Millis>(Clock::now() - Begun_);
    Out_ << Ms.count() << " ms  " << Text << std::endl;
  }

private:
  std::mutex Mutex_;
  std::ofstream Out_;
  Clock::time_point Begun_ = Clock::now();
};

/// Exit codes of a script.
enum ExitCode { Held = 0, Broken = 1, NotRun = 2 };

} // namespace celerybeam::review

#endif
