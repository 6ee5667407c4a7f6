#pragma once

#include <mutex>
#include <utility>
#include <vector>

namespace lycheeseam {

/// A function object that wakes the thread that drains a mailbox.
template<typename Wake>
concept mailbox_wake = requires(Wake& aWake)
{
  aWake();
};

/// A queue that passes messages from any thread to the one thread that drains
/// it.
///
/// Only the Post that finds the mailbox empty calls the wake function, so that
/// senders make no system calls while the receiver has messages left.
template<typename Message, mailbox_wake Wake>
class mailbox
{
public:
  explicit mailbox(Wake aWake)
    : mWake(std::move(aWake))
  {
  }

  /// Adds a message; safe from any thread.
  void Post(Message aMessage)
  {
    bool wasEmpty = false;
    {
      std::lock_guard const lock{ mMutex };
      wasEmpty = mMessages.empty();
      mMessages.push_back(std::move(aMessage));
    }
    if (wasEmpty)
      mWake();
  }

  /// Takes all waiting messages, in the order in which they were posted. Called
  /// by the receiving thread.
  [[nodiscard]] std::vector<Message> Drain()
  {
    std::vector<Message> taken;
    std::lock_guard const lock{ mMutex };
    taken.swap(mMessages);
    return taken;
  }

private:
  std::mutex mMutex;
  std::vector<Message> mMessages;
  Wake mWake;
};

}
