#pragma once

#include <LibCore/Instant.h>
#include <LibPlatform/InstanceList.h>

#include <deque>

namespace lycheeseam::standin {

/// The list of instances, which readers see as it was some time ago.
class lagging_list
{
public:
  /// Adds or replaces an instance's line.
  void Put(listed_instance const& aInstance, instant aNow);

  /// Takes an instance off.
  void Remove(instance_id const& aInstance, instant aNow);

  /// The list as it was a lag ago.
  [[nodiscard]] instance_list Read(instant aNow, duration aLag) const;

private:
  struct state
  {
    instant mSince;
    instance_list mList;
  };

  void Push(instance_list aList, instant aNow);

  std::deque<state> mStates{ state{} };
};

}
