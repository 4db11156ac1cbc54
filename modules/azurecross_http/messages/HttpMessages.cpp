#include "HttpMessages.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace azurecross {

namespace {

std::string_view
FindIn(const HttpHeaders& aHeaders, std::string_view aName)
{
  const auto found = aHeaders.find(aName);
  return found == aHeaders.end() ? std::string_view() : found->second;
}

int
ToLower(char aCharacter)
{
  return std::tolower(static_cast<unsigned char>(aCharacter));
}

std::string
DecodePercent(std::string_view aText)
{
  std::string decoded;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    unsigned byte = 0;
    const char* digits = aText.data() + at + 1;
    if (aText[at] == '%' && at + 2 < aText.size() &&
        std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
      decoded += static_cast<char>(byte);
      at += 2;
    } else {
      decoded += aText[at] == '+' ? ' ' : aText[at];
    }
  }
  return decoded;
}

} // namespace

bool
HeaderNameLess::operator()(std::string_view aLeft,
                           std::string_view aRight) const
{
  return std::lexicographical_compare(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [](char aOne, char aOther) { return ToLower(aOne) < ToLower(aOther); });
}

std::string_view
HttpRequest::GetPath() const
{
  return std::string_view(target_).substr(0, target_.find('?'));
}

std::string
HttpRequest::FindQueryValue(std::string_view aName) const
{
  const std::size_t mark = target_.find('?');
  if (mark == std::string::npos) {
    return {};
  }
  std::string_view rest = std::string_view(target_).substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == aName && equals != std::string_view::npos) {
      return DecodePercent(pair.substr(equals + 1));
    }
  }
  return {};
}

std::string_view
HttpRequest::FindHeader(std::string_view aName) const
{
  return FindIn(headers_, aName);
}

std::string_view
HttpResponse::FindHeader(std::string_view aName) const
{
  return FindIn(headers_, aName);
}

HttpResponse
MakeJsonResponse(unsigned aStatus, std::string aBody)
{
  return HttpResponse{ aStatus,
                       { { "Content-Type", "application/json" } },
                       std::move(aBody) };
}

} // namespace azurecross
