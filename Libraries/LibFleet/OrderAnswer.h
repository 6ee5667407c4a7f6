#pragma once

namespace lycheeseam {

/// An engine's answer to an order.
enum class order_answer
{
  /// The engine carries the order out, or has done so before.
  Accepted,
  /// Another order is being carried out, or was accepted meanwhile.
  Busy,
  /// Another holder has given orders under a newer lease.
  Fenced,
  /// The order can't be carried out.
  Refused,
  /// Another server answered at the address.
  Misdirected,
  /// No answer: the order may still be carried out.
  Unknown,
};

}
