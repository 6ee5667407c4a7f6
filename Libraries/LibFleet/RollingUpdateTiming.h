#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// The pace at which engines are brought to new weights.
struct turnover_timing
{
  /// From telling peers that a server turns to its order: what a message
  /// between instances takes, with some margin.
  duration mNotice = std::chrono::milliseconds{ 60 };
  /// The part of a pool that may turn while few servers have the newest
  /// weights.
  double mFirstPart = 0.25;
  /// The part of a pool that may turn once as many have them.
  double mLaterPart = 0.34;
  /// From an order to the first question for the server's state: an engine
  /// loads no faster.
  duration mFirstQuestion = std::chrono::milliseconds{ 450 };
  duration mQuestionInterval = std::chrono::milliseconds{ 150 };
  /// After this an order without effect is given again.
  duration mRepeat = std::chrono::milliseconds{ 1'500 };
  /// The pause after an engine said that it is busy.
  duration mBusyPause = std::chrono::milliseconds{ 400 };
};

}
