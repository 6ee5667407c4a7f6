#pragma once

#include <LibControl/ControlMessage.h>
#include <LibCore/Mailbox.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>

namespace lycheeseam {

/// Queues messages from the traffic threads for the control thread. Post is
/// safe from any thread; the handler runs on the control thread.
class control_inbox
{
public:
  /// Calls aHandler on the context's thread once for each message.
  control_inbox(boost::asio::io_context& aContext,
                std::function<void(control_message)> aHandler)
    : mHandler(std::move(aHandler))
    , mMessages(wake_control{ &aContext, this })
  {
  }

  /// Queues a message for control; safe from any thread.
  void Post(control_message aMessage) { mMessages.Post(std::move(aMessage)); }

private:
  struct wake_control
  {
    boost::asio::io_context* mContext;
    control_inbox* mInbox;
    void operator()() const
    {
      control_inbox* const inbox = mInbox;
      boost::asio::post(*mContext, [inbox]() { inbox->HandleMessages(); });
    }
  };

  void HandleMessages()
  {
    for (control_message& message : mMessages.Drain())
      mHandler(std::move(message));
  }

  std::function<void(control_message)> mHandler;
  mailbox<control_message, wake_control> mMessages;
};

}
