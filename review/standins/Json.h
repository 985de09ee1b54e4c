#pragma once

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

namespace Review {

/// A JSON value. Numbers are kept as double, which is exact for all versions and times that occur here.
struct Json {
    enum class Type { Null, Bool, Number, String, Array, Object };

    Type type { Type::Null };
    bool flag { false };
    double number { 0 };
    std::string text;
    std::vector<Json> list;
    std::map<std::string, Json> fields;

    Json() = default;
    Json(bool value)
        : type(Type::Bool)
        , flag(value)
    {
    }
    Json(double value)
        : type(Type::Number)
        , number(value)
    {
    }
    Json(int value)
        : Json(static_cast<double>(value))
    {
    }
    Json(long value)
        : Json(static_cast<double>(value))
    {
    }
    Json(unsigned long value)
        : Json(static_cast<double>(value))
    {
    }
    Json(std::string value)
        : type(Type::String)
        , text(std::move(value))
    {
    }
    Json(const char* value)
        : Json(std::string(value))
    {
    }

    static Json array(std::vector<Json> values = {})
    {
        Json json;
        json.type = Type::Array;
        json.list = std::move(values);
        return json;
    }

    static Json object(std::map<std::string, Json> values = {})
    {
        Json json;
        json.type = Type::Object;
        json.fields = std::move(values);
        return json;
    }

    /// Returns the field, or null.
    const Json& operator[](const std::string& name) const
    {
        static const Json null;
        const auto it = fields.find(name);
        return it == fields.end() ? null : it->second;
    }

    std::string dump() const
    {
        switch (type) {
        case Type::Null:
            return "null";
        case Type::Bool:
            return flag ? "true" : "false";
        case Type::Number:
            return dumpNumber();
        case Type::String:
            return quoted(text);
        case Type::Array: {
            std::string out = "[";
            for (const Json& it : list)
                out += (out.size() > 1 ? "," : "") + it.dump();
            return out + "]";
        }
        case Type::Object: {
            std::string out = "{";
            for (const auto& [name, value] : fields)
                out += (out.size() > 1 ? "," : "") + quoted(name) + ":" + value.dump();
            return out + "}";
        }
        }
        return {};
    }

    static Json parse(const std::string& input)
    {
        size_t at = 0;
        return parseValue(input, at);
    }

private:
    std::string dumpNumber() const
    {
        const auto whole = static_cast<long long>(number);
        return static_cast<double>(whole) == number ? std::to_string(whole) : std::to_string(number);
    }

    static std::string quoted(const std::string& value)
    {
        std::string out = "\"";
        for (const char c : value) {
            if (c == '"' || c == '\\')
                out += '\\';
            if (c == '\n')
                out += "\\n";
            else
                out += c;
        }
        return out + "\"";
    }

    static void skipSpace(const std::string& in, size_t& at)
    {
        while (at < in.size() && (in[at] == ' ' || in[at] == '\n' || in[at] == '\r' || in[at] == '\t'))
            ++at;
    }

    static std::string parseString(const std::string& in, size_t& at)
    {
        std::string out;
        for (++at; at < in.size() && in[at] != '"'; ++at) {
            if (in[at] != '\\') {
                out += in[at];
                continue;
            }
            ++at;
            if (in[at] == 'u') {
                out += static_cast<char>(std::strtol(in.substr(at + 1, 4).c_str(), nullptr, 16));
                at += 4;
            } else {
                out += in[at] == 'n' ? '\n' : in[at] == 't' ? '\t' : in[at] == 'r' ? '\r' : in[at];
            }
        }
        ++at;
        return out;
    }

    static Json parseValue(const std::string& in, size_t& at)
    {
        skipSpace(in, at);
        if (at >= in.size())
            return {};
        if (in[at] == '"')
            return parseString(in, at);
        if (in[at] == '{' || in[at] == '[')
            return parseContainer(in, at);
        if (in.compare(at, 4, "true") == 0) {
            at += 4;
            return true;
        }
        if (in.compare(at, 5, "false") == 0) {
            at += 5;
            return false;
        }
        if (in.compare(at, 4, "null") == 0) {
            at += 4;
            return {};
        }
        char* end = nullptr;
        const double value = std::strtod(in.c_str() + at, &end);
        const auto next = static_cast<size_t>(end - in.c_str());
        at = next > at ? next : in.size();
        return value;
    }

    static Json parseContainer(const std::string& in, size_t& at)
    {
        const bool isObject = in[at] == '{';
        Json json = isObject ? object() : array();
        ++at;
        for (;;) {
            skipSpace(in, at);
            if (at >= in.size())
                return json;
            if (in[at] == '}' || in[at] == ']') {
                ++at;
                return json;
            }
            if (in[at] == ',') {
                ++at;
                continue;
            }
            if (!isObject) {
                json.list.push_back(parseValue(in, at));
                continue;
            }
            const std::string name = parseString(in, at);
            skipSpace(in, at);
            ++at;
            json.fields[name] = parseValue(in, at);
        }
    }
};

}
