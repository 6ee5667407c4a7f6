#pragma once

#include "FaultSettings.h"
#include <LibCodec/ObjectSerializer.h>
#include <LibCodec/ScalarSerializers.h>

#include <tuple>

namespace lycheeseam {

template<>
struct json_fields<standin::fault_settings>
{
  using faults = standin::fault_settings;
  static constexpr std::tuple kFields{
    OptionalField("outage", &faults::mOutage),
    OptionalField("delay_ms", &faults::mDelay),
    OptionalField("lose_answers", &faults::mLoseAnswers),
    OptionalField("late_appends", &faults::mLateAppends),
    OptionalField("late_by_ms", &faults::mLateBy),
    OptionalField("retention_records", &faults::mRetentionRecords),
    OptionalField("list_lag_ms", &faults::mListLag),
    OptionalField("weights_per_second", &faults::mWeightsPerSecond),
    OptionalField("weights_time_ms", &faults::mWeightsTime),
  };
};

}
