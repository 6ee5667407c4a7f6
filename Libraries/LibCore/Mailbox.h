#pragma once

#include <mutex>
#include <utility>
#include <vector>

namespace lycheeseam {

/// What wakes the thread that drains a mailbox.
template<typename Wake>
concept mailbox_wake = requires(Wake& aWake)
{
  aWake();
};

/// Hands typed messages from any thread to the one that drains it.
///
/// The wake is called only by the post that finds the mailbox empty, so a
/// busy receiver costs its senders no system calls.
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

  /// Takes all waiting messages in the order of their posts.
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
