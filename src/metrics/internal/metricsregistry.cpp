#include "metrics/metricsregistry.h"

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <utility>

#include "framework/stablehash.h"
#include "metrics/internal/customertable.h"
#include "metrics/internal/requestseries.h"

namespace celerybeam {

namespace {

constexpr std::size_t ShardCount = 8;
constexpr const char *RestName = "rest";
constexpr std::string_view CounterSuffix = "_total";
constexpr const char *DroppedName = "celerybeam_metrics_dropped_total";

const char *className(RequestClass Class) {
  return Class == RequestClass::Short ? "short" : "long";
}

MetricType typeByName(std::string_view Name) {
  return Name.ends_with(CounterSuffix) ? MetricType::Counter
                                       : MetricType::Gauge;
}

using RouteKey = std::pair<RouteName, RequestClass>;

struct RouteShard {
  std::mutex Mutex;
  std::map<RouteKey, RouteSeries> Series;
};

struct CustomerShard {
  explicit CustomerShard(std::size_t Limit) : Table(Limit) {}

  std::mutex Mutex;
  CustomerTable Table;
};

struct ValueFamily {
  std::string Help;
  MetricType Type = MetricType::Gauge;
  /// The key holds the names and values of the labels.
  std::map<std::vector<std::pair<std::string, std::string>>, double> Values;
};

struct ValueShard {
  std::mutex Mutex;
  std::map<std::string, ValueFamily> Families;
};

struct Source {
  std::string Name;
  std::string Help;
  std::function<double()> Read;
};

} // namespace

class MetricsRegistry::Impl {
public:
  explicit Impl(MetricsLimits Limits);

  void record(const RequestSample &Sample);
  void change(const std::string &Name, const std::string &Help,
              const MetricLabels &Labels,
              const std::function<void(double &)> &Change);
  void addSource(Source Next);
  std::string text();

private:
  void recordRoute(const RequestSample &Sample);
  void writeRoutes(PrometheusText &Text);
  void writeCustomers(PrometheusText &Text);
  void writeValues(PrometheusText &Text);
  void writeSources(PrometheusText &Text);

  const MetricsLimits Limits_;
  std::array<RouteShard, ShardCount> Routes_;
  std::atomic<std::size_t> RouteCount_ = 0;
  std::vector<std::unique_ptr<CustomerShard>> Customers_;
  std::array<ValueShard, ShardCount> Values_;
  std::atomic<std::size_t> ValueCount_ = 0;
  std::atomic<std::uint64_t> Dropped_ = 0;
  std::mutex SourcesMutex_;
  std::vector<Source> Sources_;
};

MetricsRegistry::Impl::Impl(MetricsLimits Limits) : Limits_(Limits) {
  std::size_t Shards =
      std::min(ShardCount, std::max<std::size_t>(Limits.Customers, 1));
  for (std::size_t I = 0; I < Shards; ++I)
    Customers_.push_back(
        std::make_unique<CustomerShard>(Limits.Customers / Shards));
}

void MetricsRegistry::Impl::record(const RequestSample &Sample) {
  recordRoute(Sample);
  auto &Shard =
      *Customers_[stableHash(Sample.Customer.str()) % Customers_.size()];
  std::lock_guard Lock(Shard.Mutex);
  Shard.Table.record(Sample);
}

void MetricsRegistry::Impl::recordRoute(const RequestSample &Sample) {
  RouteKey Key{Sample.Route, Sample.Class};
  auto &Shard = Routes_[stableHash(Key.first.str()) % ShardCount];
  {
    std::lock_guard Lock(Shard.Mutex);
    auto It = Shard.Series.find(Key);
    if (It != Shard.Series.end() || RouteCount_++ < Limits_.Routes) {
      Shard.Series[Key].record(Sample);
      return;
    }
    --RouteCount_;
  }
  Key.first = RouteName(RestName);
  auto &RestShard = Routes_[stableHash(RestName) % ShardCount];
  std::lock_guard Lock(RestShard.Mutex);
  RestShard.Series[Key].record(Sample);
}

void MetricsRegistry::Impl::change(
    const std::string &Name, const std::string &Help,
    const MetricLabels &Labels, const std::function<void(double &)> &Change) {
  auto &Shard = Values_[stableHash(Name) % ShardCount];
  std::vector<std::pair<std::string, std::string>> Key;
  for (const MetricLabel &Label : Labels)
    Key.emplace_back(Label.Name, Label.Value);
  std::lock_guard Lock(Shard.Mutex);
  auto [It, New] =
      Shard.Families.try_emplace(Name, ValueFamily{Help, typeByName(Name), {}});
  auto &Values = It->second.Values;
  auto Value = Values.find(Key);
  if (Value == Values.end()) {
    if (ValueCount_ >= Limits_.Values) {
      ++Dropped_;
      return;
    }
    ++ValueCount_;
    Value = Values.emplace(std::move(Key), 0).first;
  }
  Change(Value->second);
}

void MetricsRegistry::Impl::addSource(Source Next) {
  std::lock_guard Lock(SourcesMutex_);
  Sources_.push_back(std::move(Next));
}

void MetricsRegistry::Impl::writeRoutes(PrometheusText &Text) {
  RouteSeries::declare(Text);
  for (RouteShard &Shard : Routes_) {
    std::lock_guard Lock(Shard.Mutex);
    for (const auto &[Key, Series] : Shard.Series)
      Series.write(
          Text, {{"route", Key.first.str()}, {"class", className(Key.second)}});
  }
}

void MetricsRegistry::Impl::writeCustomers(PrometheusText &Text) {
  CustomerSeries::declare(Text);
  CustomerSeries Rest;
  for (const auto &Shard : Customers_) {
    std::lock_guard Lock(Shard->Mutex);
    Shard->Table.write(Text, Rest);
  }
  Rest.write(Text, {{"customer", RestName}});
}

void MetricsRegistry::Impl::writeValues(PrometheusText &Text) {
  for (ValueShard &Shard : Values_) {
    std::lock_guard Lock(Shard.Mutex);
    for (const auto &[Name, Family] : Shard.Families) {
      Text.declare(Name, Family.Help, Family.Type);
      for (const auto &[Key, Value] : Family.Values) {
        MetricLabels Labels;
        for (const auto &[LabelName, LabelValue] : Key)
          Labels.push_back({LabelName, LabelValue});
        Text.addValue(Name, Labels, Value);
      }
    }
  }
}

void MetricsRegistry::Impl::writeSources(PrometheusText &Text) {
  std::vector<Source> Copy;
  {
    std::lock_guard Lock(SourcesMutex_);
    Copy = Sources_;
  }
  for (const Source &Each : Copy) {
    Text.declare(Each.Name, Each.Help, typeByName(Each.Name));
    Text.addValue(Each.Name, {}, Each.Read());
  }
}

std::string MetricsRegistry::Impl::text() {
  PrometheusText Text;
  writeRoutes(Text);
  writeCustomers(Text);
  writeValues(Text);
  writeSources(Text);
  Text.declare(DroppedName,
               "Changes of counters and gauges above the bound of series.",
               MetricType::Counter);
  Text.addValue(DroppedName, {}, static_cast<double>(Dropped_));
  return Text.str();
}

MetricsRegistry::MetricsRegistry(MetricsLimits Limits)
    : Impl_(std::make_unique<Impl>(Limits)) {}

MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::record(const RequestSample &Sample) {
  Impl_->record(Sample);
}

void MetricsRegistry::add(const std::string &Name, const std::string &Help,
                          const MetricLabels &Labels, double Amount) {
  Impl_->change(Name, Help, Labels,
                [Amount](double &Value) { Value += Amount; });
}

void MetricsRegistry::set(const std::string &Name, const std::string &Help,
                          const MetricLabels &Labels, double Value) {
  Impl_->change(Name, Help, Labels,
                [Value](double &Current) { Current = Value; });
}

void MetricsRegistry::addSource(const std::string &Name,
                                const std::string &Help,
                                std::function<double()> Read) {
  Impl_->addSource({Name, Help, std::move(Read)});
}

std::string MetricsRegistry::text() const { return Impl_->text(); }

} // namespace celerybeam
