#pragma once

namespace lycheeseam {

/// What an engine answered to an order.
enum class order_answer
{
  /// It carries the order out, or has done so before.
  Accepted,
  /// Another order is being carried out, or was accepted meanwhile.
  Busy,
  /// Another holder has given orders under a newer lease.
  Fenced,
  /// The order can't be carried out.
  Refused,
  /// Another server has the address.
  Misdirected,
  /// No answer: it may be carried out later.
  Unknown,
};

}
