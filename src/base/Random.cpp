#include "base/Random.h"

namespace jasminestack {

std::string Random::hex(unsigned digits)
{
    static constexpr char hexDigits[] = "0123456789abcdef";
    std::string text(digits, '0');
    for (char& digit : text)
        digit = hexDigits[uniformInteger(16)];
    return text;
}

std::string Random::uuid()
{
    std::string text = hex(32);
    text[12] = '4';
    text[16] = "89ab"[uniformInteger(4)];
    for (std::size_t position : { std::size_t { 8 }, std::size_t { 13 }, std::size_t { 18 }, std::size_t { 23 } })
        text.insert(position, 1, '-');
    return text;
}

std::uint64_t systemSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}
