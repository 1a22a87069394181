#include "logging/logsetup.h"

#include <atomic>
#include <iostream>
#include <mutex>

#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include "logging/internal/linelimit.h"
#include "logging/logger.h"

namespace celerybeam {

namespace {

namespace sinks = boost::log::sinks;
using Sink = sinks::synchronous_sink<sinks::text_ostream_backend>;

/// The options, output and rate limit in use.
struct LogState {
  LogState(LogOptions O, boost::shared_ptr<Sink> S)
      : Options(std::move(O)), Output(std::move(S)),
        Limit(Options.LinesPerSecond, Options.BurstSeconds) {}

  const LogOptions Options;
  const boost::shared_ptr<Sink> Output;
  LineLimit Limit;
};

std::mutex StateMutex;
std::shared_ptr<LogState> CurrentState;
/// Checked first, so that lines below this level cost one atomic load.
std::atomic<LogLevel> LowestLevel = LogLevel::Info;

std::shared_ptr<LogState> currentState() {
  std::lock_guard Lock(StateMutex);
  return CurrentState;
}

boost::log::sources::logger_mt &lineSource() {
  static boost::log::sources::logger_mt Source;
  return Source;
}

void writeLine(const LogState &State, const LogRecord &Record) {
  BOOST_LOG(lineSource()) << (State.Options.Json ? renderLogJson(Record)
                                                 : renderLogText(Record));
}

void replaceState(std::shared_ptr<LogState> Next) {
  std::lock_guard Lock(StateMutex);
  auto Core = boost::log::core::get();
  if (CurrentState) {
    Core->remove_sink(CurrentState->Output);
    CurrentState->Output->flush();
  }
  CurrentState = std::move(Next);
  if (!CurrentState)
    return;
  LowestLevel = CurrentState->Options.Level;
  Core->add_sink(CurrentState->Output);
}

} // namespace

void setUpLog(std::shared_ptr<std::ostream> Out, LogOptions Options) {
  auto Backend = boost::make_shared<sinks::text_ostream_backend>();
  Backend->add_stream(boost::shared_ptr<std::ostream>(
      Out.get(), [Out](std::ostream *) mutable { Out.reset(); }));
  Backend->auto_flush(true);
  auto Output = boost::make_shared<Sink>(Backend);
  replaceState(
      std::make_shared<LogState>(std::move(Options), std::move(Output)));
}

void setUpLog(LogOptions Options) {
  setUpLog(std::shared_ptr<std::ostream>(&std::clog, [](std::ostream *) {}),
           std::move(Options));
}

void tearDownLog() { replaceState(nullptr); }

void Logger::write(LogLevel Level, std::string Sentence,
                   LogFields Fields) const {
  if (Level < LowestLevel.load(std::memory_order_relaxed))
    return;
  auto State = currentState();
  if (!State)
    return;
  auto Now = State->Options.Now();
  auto Dropped = State->Limit.admit(Part_, Now);
  if (!Dropped)
    return;
  if (*Dropped > 0)
    writeLine(*State, {Now,
                       LogLevel::Warning,
                       Part_,
                       "Log lines dropped by the rate limit.",
                       {{"dropped", *Dropped}}});
  writeLine(*State,
            {Now, Level, Part_, std::move(Sentence), std::move(Fields)});
}

} // namespace celerybeam
