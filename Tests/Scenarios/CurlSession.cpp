#include "CurlSession.h"

#include <mutex>

namespace lycheeseam {

curl_session::curl_session()
{
  static std::once_flag initialised;
  std::call_once(initialised, []() { curl_global_init(CURL_GLOBAL_ALL); });
  mMulti.reset(curl_multi_init());
  mEasy.reset(curl_easy_init());
}

}
