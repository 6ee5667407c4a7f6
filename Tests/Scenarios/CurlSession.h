#pragma once

#include <curl/curl.h>

#include <memory>

namespace lycheeseam {

/// A libcurl handle with its own connections; one request at a time.
class curl_session
{
public:
  curl_session();

  [[nodiscard]] CURLM* Multi() const { return mMulti.get(); }
  [[nodiscard]] CURL* Easy() const { return mEasy.get(); }

private:
  struct multi_cleanup
  {
    void operator()(CURLM* aMulti) const { curl_multi_cleanup(aMulti); }
  };
  struct easy_cleanup
  {
    void operator()(CURL* aEasy) const { curl_easy_cleanup(aEasy); }
  };

  std::unique_ptr<CURLM, multi_cleanup> mMulti;
  std::unique_ptr<CURL, easy_cleanup> mEasy;
};

}
