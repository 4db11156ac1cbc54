#include "AnswerHead.h"

#include <ostream>

// Needs the complete type of std::ostream.
#include <boost/beast/http/status.hpp>

namespace azurecross {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kUsualHeadBytes = 256;

std::string_view
FindReason(unsigned aStatus)
{
  const auto reason = http::obsolete_reason(http::int_to_status(aStatus));
  return { reason.data(), reason.size() };
}

} // namespace

AnswerHead::AnswerHead(unsigned aStatus)
{
  text_.reserve(kUsualHeadBytes);
  text_ += "HTTP/1.1 ";
  text_ += std::to_string(aStatus);
  text_ += ' ';
  text_ += FindReason(aStatus);
  text_ += "\r\n";
}

AnswerHead&
AnswerHead::Add(std::string_view aName, std::string_view aValue)
{
  text_ += aName;
  text_ += ": ";
  text_ += aValue;
  text_ += "\r\n";
  return *this;
}

std::string
AnswerHead::Finish()
{
  text_ += "\r\n";
  return std::move(text_);
}

} // namespace azurecross
