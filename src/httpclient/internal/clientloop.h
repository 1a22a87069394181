#ifndef CELERYBEAM_HTTPCLIENT_INTERNAL_CLIENTLOOP_H
#define CELERYBEAM_HTTPCLIENT_INTERNAL_CLIENTLOOP_H

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include <curl/curl.h>

#include "httpclient/httpclienttypes.h"
#include "httpclient/internal/socketpoller.h"
#include "httpclient/internal/suspecthosts.h"
#include "httpclient/internal/transfer.h"

namespace celerybeam {

/// Counters shared by the loops of one client.
struct LoopCounters {
  std::atomic<std::uint64_t> Connections{0};
  std::atomic<std::uint64_t> SilentConnections{0};
};

/// One thread that drives calls through a libcurl multi handle.
///
/// All libcurl calls of a transfer run on that thread; other threads only
/// enqueue commands.
class ClientLoop {
public:
  ClientLoop(const HttpClientSettings &Settings, SuspectHosts &Suspects,
             LoopCounters &Counters);

  void start(std::unique_ptr<Transfer> T);
  void cancel(HttpCallId Id);
  void resume(HttpCallId Id);

  /// Stops the thread and ends the calls that it drives.
  void stop();

  /// Ends calls that were started after stop; returns whether there were any.
  bool endCallsAfterStop();

private:
  using Command = std::function<void()>;

  struct CleanUpMulti {
    void operator()(CURLM *Multi) const { curl_multi_cleanup(Multi); }
  };

  void enqueue(Command C);
  std::vector<Command> takeCommands();
  void run();
  void runCommands();
  void add(std::unique_ptr<Transfer> T);
  void endCancelled(HttpCallId Id, const char *Message);
  void endAll();
  void readResults();
  void end(HttpCallId Id, const std::function<void(Transfer &)> &Finish);
  void count(const Transfer &T);

  const HttpClientSettings Settings_;
  SuspectHosts &Suspects_;
  LoopCounters &Counters_;
  std::unique_ptr<CURLM, CleanUpMulti> Multi_;
  SocketPoller Poller_;
  std::unordered_map<HttpCallId, std::unique_ptr<Transfer>> Active_;
  std::mutex Mutex_;
  std::vector<Command> Commands_;
  std::atomic<bool> Stopping_{false};
  std::thread Thread_;
};

} // namespace celerybeam

#endif
