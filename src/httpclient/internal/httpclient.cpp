#include "httpclient/httpclient.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <utility>
#include <vector>

#include "httpclient/internal/clientloop.h"

namespace celerybeam {

class HttpClient::Impl {
public:
  explicit Impl(const HttpClientSettings &Settings)
      : Suspects_(Settings.IdleLimit) {
    static std::once_flag Initialised;
    std::call_once(Initialised, [] { curl_global_init(CURL_GLOBAL_ALL); });
    const std::size_t Count = std::max<std::size_t>(Settings.Threads, 1);
    for (std::size_t I = 0; I < Count; ++I)
      Loops_.push_back(
          std::make_unique<ClientLoop>(Settings, Suspects_, Counters_));
  }

  ~Impl() {
    for (auto &Loop : Loops_)
      Loop->stop();
    // The hooks of ended calls may have started other calls.
    bool Any = true;
    while (Any) {
      Any = false;
      for (auto &Loop : Loops_)
        Any |= Loop->endCallsAfterStop();
    }
  }

  HttpCallId start(HttpCall Call, ResponseHooks Hooks) {
    auto Id = static_cast<HttpCallId>(++LastId_);
    loopOf(Id).start(
        std::make_unique<Transfer>(Id, std::move(Call), std::move(Hooks)));
    return Id;
  }

  ClientLoop &loopOf(HttpCallId Id) {
    return *Loops_[static_cast<std::uint64_t>(Id) % Loops_.size()];
  }

  HttpClientCounts counts() const {
    HttpClientCounts C;
    C.Started = LastId_;
    C.Connections = Counters_.Connections;
    C.SilentConnections = Counters_.SilentConnections;
    return C;
  }

private:
  std::atomic<std::uint64_t> LastId_{0};
  SuspectHosts Suspects_;
  LoopCounters Counters_;
  std::vector<std::unique_ptr<ClientLoop>> Loops_;
};

HttpClient::HttpClient(HttpClientSettings Settings)
    : Impl_(std::make_unique<Impl>(Settings)) {}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::start(HttpCall Call, ResponseHooks Hooks) {
  return Impl_->start(std::move(Call), std::move(Hooks));
}

void HttpClient::cancel(HttpCallId Id) { Impl_->loopOf(Id).cancel(Id); }

void HttpClient::resume(HttpCallId Id) { Impl_->loopOf(Id).resume(Id); }

HttpClientCounts HttpClient::counts() const { return Impl_->counts(); }

} // namespace celerybeam
