#include "fleethost/internal/requestlog.h"

namespace celerybeam::detail {

namespace {

std::int64_t millis(Duration D) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(D).count();
}

void add(LogFields &Fields, const char *Name, Duration Value) {
  if (Value > Duration::zero())
    Fields.push_back({Name, millis(Value)});
}

void add(LogFields &Fields, const char *Name, unsigned Value) {
  if (Value > 0)
    Fields.push_back({Name, Value});
}

void addInputs(LogFields &Fields, const DecisionInputs &Inputs) {
  Fields.push_back({"usable", Inputs.Usable});
  add(Fields, "untrusted", Inputs.Untrusted);
  add(Fields, "resting", Inputs.BackingOff);
  add(Fields, "cold", Inputs.Cold);
  if (Inputs.Local)
    Fields.push_back({"here_ms", millis(*Inputs.Local)});
  if (Inputs.Remote)
    Fields.push_back({"away_ms", millis(*Inputs.Remote)});
  add(Fields, "limit_ms", Inputs.Limit);
  if (!Inputs.Placer.empty()) {
    Fields.push_back({"placer", Inputs.Placer});
    add(Fields, "placer_ms", Inputs.PlacerReplyTime);
  }
}

} // namespace

LogFields logFieldsOf(const RequestRecord &R) {
  LogFields Fields = {{"request", R.Id},
                      {"route", R.Route},
                      {"pool", R.Pool},
                      {"tables", R.TablesVersion},
                      {"status", R.Status},
                      {"outcome", R.Outcome},
                      {"run", executionStateName(R.Execution)}};
  if (!R.SentAs.empty())
    Fields.push_back({"sent_as", R.SentAs});
  if (!R.LeftWhile.empty())
    Fields.push_back({"left_while", R.LeftWhile});
  if (R.Homes.isRestricted())
    Fields.push_back({"homes", R.Homes.text()});
  if (!R.Customer.empty())
    Fields.push_back({"customer", R.Customer});
  add(Fields, "prompt_tokens", R.PromptTokens);
  if (!R.Parts.empty())
    Fields.push_back({"parts", R.Parts});
  if (!R.Attempts.empty())
    Fields.push_back({"attempts", R.Attempts});
  addInputs(Fields, R.Inputs);
  add(Fields, "retry_after_ms", R.RetryAfter);
  add(Fields, "first_ms", R.FirstOutput);
  add(Fields, "gap_ms", R.LongestGap);
  Fields.push_back({"total_ms", millis(R.Total)});
  if (R.SenderTables > 0)
    Fields.push_back({"sender_tables", R.SenderTables});
  if (R.Forwarded)
    Fields.push_back({"from_host", true});
  return Fields;
}

} // namespace celerybeam::detail
