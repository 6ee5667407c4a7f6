#pragma once

#include <LibCore/Instant.h>
#include <LibPlatform/InstanceList.h>

#include <deque>

namespace lycheeseam::standin {

/// The list of instances with its past states, so that readers get it as it was
/// some time ago.
class lagging_list
{
public:
  /// Adds or replaces an instance's entry.
  void Put(listed_instance const& aInstance, instant aNow);

  /// Removes an instance.
  void Remove(instance_id const& aInstance, instant aNow);

  /// The list as it was at aNow - aLag.
  [[nodiscard]] instance_list Read(instant aNow, duration aLag) const;

private:
  struct state
  {
    instant mSince;
    instance_list mList;
  };

  void AddState(instance_list aList, instant aNow);

  std::deque<state> mStates{ state{} };
};

}
