#include "SettingsFile.h"

#include "kumquatbank/core/TextFile.h"

#include <filesystem>

namespace kumquatbank {

namespace {

    const std::string& describeRead(const Result<std::string>& text) { return text ? *text : text.error().message; }

} // namespace

Result<PoolerSettings> SettingsFile::load() { return parse(readTextFile(m_file)); }

std::optional<Result<PoolerSettings>> SettingsFile::loadIfChanged()
{
    if (m_file.empty())
        return std::nullopt;
    std::error_code ec;
    const auto status = std::filesystem::status(m_file, ec);
    if (std::filesystem::exists(status) && !std::filesystem::is_regular_file(status))
        return std::nullopt;
    const auto text = readTextFile(m_file);
    if (m_lastRead == describeRead(text))
        return std::nullopt;
    return parse(text);
}

Result<PoolerSettings> SettingsFile::parse(const Result<std::string>& text)
{
    m_lastRead = describeRead(text);
    if (!text)
        return tl::unexpected(text.error());
    return PoolerSettings::parse(*text, m_file);
}

} // namespace kumquatbank
