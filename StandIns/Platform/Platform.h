#pragma once

#include "DelayedTasks.h"
#include "FaultSettings.h"
#include "LaggingList.h"
#include "PendingRead.h"
#include "Responder.h"
#include "StoredLog.h"
#include "WeightStore.h"
#include <LibCore/SystemClock.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lycheeseam::standin {

/// The stand-in platform: the log, the list of instances and the weight store,
/// with the faults that tests set. One mutex guards all of it.
class platform
{
public:
  void Append(std::string aText, responder const& aResponder);
  void Read(pending_read aRead);
  void Offsets(responder const& aResponder);
  void PutInstance(listed_instance const& aInstance,
                   responder const& aResponder);
  void RemoveInstance(instance_id const& aInstance,
                      responder const& aResponder);
  void ListInstances(responder const& aResponder);
  void FetchWeights(responder const& aResponder);

  /// The current faults.
  [[nodiscard]] fault_settings Faults() const;

  /// Replaces the faults; an outage also refuses the reads that wait.
  void SetFaults(fault_settings const& aFaults);

private:
  using lock = std::lock_guard<std::mutex>;

  void Answer(responder const& aResponder,
              Pistache::Http::Code aCode,
              std::string aBody);
  bool RefuseInOutage(responder const& aResponder);
  log_offset AppendAndAnswerReads(std::string aText);
  bool TryAnswerRead(pending_read const& aRead);
  void ExpireRead(std::uint64_t aNumber);

  mutable std::mutex mMutex;
  system_clock mClock;
  fault_settings mFaults;
  stored_log mLog;
  lagging_list mList;
  weight_store mWeights;
  std::vector<pending_read> mPendingReads;
  std::uint64_t mLastRead = 0;
  // Destroyed first, so that no task uses a destroyed member.
  delayed_tasks mTasks;
};

}
