#pragma once

#include <LibControl/CallState.h>
#include <LibCore/Verify.h>

#include <unordered_map>

namespace lycheeseam {

/// The open calls, indexed by call number and by request id.
class call_table
{
public:
  /// Adds a call, whose number and request id must not be in the table yet.
  call_state& Add(call_state aCall)
  {
    call_number const number = aCall.mRequest.mCall;
    mNumbers.emplace(aCall.mRequest.mId, number);
    auto const [position, isNew] = mCalls.emplace(number, std::move(aCall));
    VERIFY(isNew);
    return position->second;
  }

  /// Returns the call with that number, or null.
  [[nodiscard]] call_state* Find(call_number aNumber)
  {
    auto const found = mCalls.find(aNumber);
    return found == mCalls.end() ? nullptr : &found->second;
  }

  /// Returns the call of that request, or null.
  [[nodiscard]] call_state* Find(request_id const& aId)
  {
    auto const found = mNumbers.find(aId);
    return found == mNumbers.end() ? nullptr : Find(found->second);
  }

  /// Removes a call and invalidates references to it.
  void Remove(call_state const& aCall)
  {
    call_number const number = aCall.mRequest.mCall;
    mNumbers.erase(aCall.mRequest.mId);
    mCalls.erase(number);
  }

  [[nodiscard]] std::size_t size() const noexcept { return mCalls.size(); }

private:
  std::unordered_map<call_number, call_state> mCalls;
  std::unordered_map<request_id, call_number> mNumbers;
};

}
