#include "WeightStore.h"

namespace lycheeseam::standin {

bool
weight_store::TryTake(std::uint32_t aPerSecond, instant aNow)
{
  if (aNow - mWindow >= std::chrono::seconds{ 1 }) {
    mWindow = aNow;
    mTaken = 0;
  }
  if (mTaken >= aPerSecond)
    return false;
  ++mTaken;
  return true;
}

}
