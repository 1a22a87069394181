#include "httpclient/internal/clientloop.h"

#include <utility>

namespace celerybeam {

ClientLoop::ClientLoop(const HttpClientSettings &Settings,
                       SuspectHosts &Suspects, LoopCounters &Counters)
    : Settings_(Settings), Suspects_(Suspects), Counters_(Counters),
      Multi_(curl_multi_init()), Poller_(Multi_.get()) {
  curl_multi_setopt(Multi_.get(), CURLMOPT_MAXCONNECTS,
                    static_cast<long>(Settings.IdleConnections));
  Thread_ = std::thread([this] { run(); });
}

void ClientLoop::start(std::unique_ptr<Transfer> T) {
  // A std::function must be copyable, so it cannot own a unique_ptr.
  auto Owner = std::make_shared<std::unique_ptr<Transfer>>(std::move(T));
  enqueue([this, Owner] { add(std::move(*Owner)); });
}

void ClientLoop::cancel(HttpCallId Id) {
  enqueue([this, Id] { endCancelled(Id, "the call was cancelled"); });
}

void ClientLoop::resume(HttpCallId Id) {
  enqueue([this, Id] {
    auto It = Active_.find(Id);
    if (It != Active_.end())
      It->second->resume();
  });
}

void ClientLoop::stop() {
  Stopping_ = true;
  Poller_.wake();
  Thread_.join();
}

bool ClientLoop::endCallsAfterStop() {
  std::vector<Command> Pending = takeCommands();
  for (const Command &C : Pending)
    C();
  return !Pending.empty();
}

void ClientLoop::enqueue(Command C) {
  {
    std::lock_guard Lock(Mutex_);
    Commands_.push_back(std::move(C));
  }
  Poller_.wake();
}

std::vector<ClientLoop::Command> ClientLoop::takeCommands() {
  std::lock_guard Lock(Mutex_);
  return std::exchange(Commands_, {});
}

void ClientLoop::run() {
  while (!Stopping_) {
    runCommands();
    Poller_.poll();
    readResults();
  }
  runCommands();
  endAll();
}

void ClientLoop::runCommands() {
  for (const Command &C : takeCommands())
    C();
}

void ClientLoop::add(std::unique_ptr<Transfer> T) {
  if (Stopping_)
    return T->finish(Error{ErrorKind::Cancelled, "the client shuts down"});
  bool Fresh = Suspects_.isSuspect(T->origin(), SuspectHosts::Clock::now());
  Result<CURL *> Easy = T->prepare(Settings_, Fresh);
  if (!Easy)
    return T->finish(Easy.error());
  curl_multi_add_handle(Multi_.get(), *Easy);
  HttpCallId Id = T->id();
  Active_.emplace(Id, std::move(T));
}

void ClientLoop::endCancelled(HttpCallId Id, const char *Message) {
  end(Id, [Message](Transfer &T) {
    T.finish(Error{ErrorKind::Cancelled, Message});
  });
}

void ClientLoop::endAll() {
  while (!Active_.empty())
    endCancelled(Active_.begin()->first, "the client shuts down");
}

void ClientLoop::readResults() {
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi_.get(), &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    CURLcode Code = Message->data.result;
    end(Transfer::of(Message->easy_handle).id(),
        [Code](Transfer &T) { T.finish(Code); });
  }
}

void ClientLoop::end(HttpCallId Id,
                     const std::function<void(Transfer &)> &Finish) {
  auto Node = Active_.extract(Id);
  if (Node.empty())
    return;
  Transfer &T = *Node.mapped();
  count(T);
  curl_multi_remove_handle(Multi_.get(), T.easy());
  Finish(T);
}

void ClientLoop::count(const Transfer &T) {
  Counters_.Connections += static_cast<std::uint64_t>(T.connectionsOpened());
  if (!T.wentSilent(Settings_.SilenceLimit))
    return;
  ++Counters_.SilentConnections;
  Suspects_.markSuspect(T.origin(), SuspectHosts::Clock::now());
}

} // namespace celerybeam
