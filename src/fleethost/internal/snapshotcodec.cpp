#include "fleethost/internal/snapshotcodec.h"

#include <algorithm>

#include "messages/fleetnews.pb.h"

namespace celerybeam::detail {

namespace {

using Item = messages::MirrorSnapshot::Item;

void writeItem(const StoreChange &Change, Item &Out) {
  Out.set_key(Change.Key);
  Out.set_value(Change.Value);
  Out.set_at(Change.At.Number);
  Out.set_era(Change.At.Era);
  Out.set_removed(Change.Removed);
}

StoreChange readItem(const Item &In) {
  return {In.key(), In.value(), {In.era(), In.at()}, In.removed()};
}

} // namespace

std::string writeSnapshot(const StoreSnapshot &Snapshot) {
  messages::MirrorSnapshot Message;
  Message.set_as_of(Snapshot.AsOf.Number);
  Message.set_era(Snapshot.AsOf.Era);
  Message.set_changes_only(Snapshot.ChangesOnly);
  for (const StoreChange &Change : Snapshot.Items)
    writeItem(Change, *Message.add_items());
  Message.set_current(Snapshot.Current);
  Message.set_certain_after(Snapshot.CertainAfter.Number);
  for (const StoreChange &Row : Snapshot.Retained)
    writeItem(Row, *Message.add_retained());
  Message.set_settles_in_ms(static_cast<std::uint64_t>(
      std::max(Snapshot.SettlesIn, Duration::zero()) /
      std::chrono::milliseconds(1)));
  return Message.SerializeAsString();
}

Result<StoreSnapshot> readSnapshot(const std::string &Bytes) {
  messages::MirrorSnapshot Message;
  if (!Message.ParseFromString(Bytes))
    return makeError(ErrorKind::Internal,
                     "Another host's snapshot cannot be read; it is asked "
                     "again.");
  StoreSnapshot Snapshot;
  Snapshot.AsOf = {Message.era(), Message.as_of()};
  Snapshot.ChangesOnly = Message.changes_only();
  for (const Item &In : Message.items())
    Snapshot.Items.push_back(readItem(In));
  Snapshot.Current = Message.current();
  if (Message.certain_after() > 0)
    Snapshot.CertainAfter = {Message.era(), Message.certain_after()};
  for (const Item &In : Message.retained())
    Snapshot.Retained.push_back(readItem(In));
  Snapshot.SettlesIn = std::chrono::milliseconds(std::min<std::uint64_t>(
      Message.settles_in_ms(),
      StoreMirror::RollbackSettleTime / std::chrono::milliseconds(1)));
  return Snapshot;
}

std::string writeSummary(const MirrorSummary &Summary) {
  messages::MirrorSummary Message;
  Message.set_region(Summary.Region.str());
  Message.set_operator_era(Summary.Operator.Era);
  Message.set_operator_from(Summary.Operator.Number);
  Message.set_endpoint_era(Summary.Endpoints.Era);
  Message.set_endpoint_from(Summary.Endpoints.Number);
  Message.set_current(Summary.Current);
  Message.set_settling(Summary.Settling);
  return Message.SerializeAsString();
}

Result<MirrorSummary> readSummary(const std::string &Bytes) {
  messages::MirrorSummary Message;
  if (!Message.ParseFromString(Bytes))
    return makeError(ErrorKind::Internal,
                     "Another host's summary cannot be read; another host is "
                     "asked.");
  return MirrorSummary{RegionId(Message.region()),
                       {Message.operator_era(), Message.operator_from()},
                       {Message.endpoint_era(), Message.endpoint_from()},
                       Message.current(),
                       Message.settling()};
}

} // namespace celerybeam::detail
