#include "base/responsehead.h"

#include "base/brokenanswers.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Kumquatpick {

namespace {

    using Progress = ResponseHeadCheck::Progress;

    Progress check(std::string_view text) { return ResponseHeadCheck().advance(text); }

    std::optional<HeadProblem> problemOf(std::string_view text)
    {
        Progress progress = check(text);
        auto* problem = std::get_if<HeadProblem>(&progress);
        return problem ? std::optional(*problem) : std::nullopt;
    }

    // 0 if the head is broken or not whole.
    unsigned statusOf(std::string_view text)
    {
        Progress progress = check(text);
        auto* head = std::get_if<ResponseHeadCheck::Head>(&progress);
        return head ? head->status : 0;
    }

    std::string headWith(std::string_view line) { return fmt::format("HTTP/1.1 200 OK\r\n{}\r\n\r\n", line); }

}

TEST(ResponseHead, SoundOnesPass)
{
    EXPECT_EQ(statusOf("HTTP/1.1 200 OK\r\n\r\n"), 200U);
    EXPECT_EQ(statusOf("HTTP/1.0 404 Not Found\r\nContent-Length: 0\r\n\r\n"), 404U);
    EXPECT_EQ(statusOf("HTTP/1.1 599 \r\n\r\n"), 599U) << "the reason may be empty";
    EXPECT_EQ(statusOf("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), 103U);
    for (std::string_view line : { "Name: value", "name:value", "Name:", "Name: \t ", "X-!#$%&'*+.^_`|~0: \x80\xff\tz",
             "CONTENT-LENGTH:   18446744073709551615  ", "transfer-encoding: Chunked",
             "Content-Length: 5\r\nContent-Length: 5" })
        EXPECT_EQ(statusOf(headWith(line)), 200U) << line;
}

TEST(ResponseHead, EachProblemIsTold)
{
    EXPECT_EQ(problemOf("HTTP/1.1 000 OK\r\n\r\n"), HeadProblem::Status);
    EXPECT_EQ(problemOf("HTTP/1.1 101 Switching Protocols\r\n\r\n"), HeadProblem::Status);
    EXPECT_EQ(problemOf("SSH-2.0-x\r\n"), HeadProblem::StatusLine);
    EXPECT_EQ(problemOf("HTTP/1.1 2000 OK\r\n"), HeadProblem::StatusLine);
    EXPECT_EQ(problemOf("\r\nHTTP/1.1 200 OK\r\n"), HeadProblem::StatusLine);
    EXPECT_EQ(problemOf("HTTP/1.1 200 OK\n\n"), HeadProblem::LineEnd);
    EXPECT_EQ(problemOf(headWith("Bad Name: x")), HeadProblem::FieldName);
    EXPECT_EQ(problemOf(headWith("Name : x")), HeadProblem::FieldName);
    EXPECT_EQ(problemOf(headWith(" folded")), HeadProblem::FieldName);
    EXPECT_EQ(problemOf(headWith("no colon")), HeadProblem::FieldName);
    EXPECT_EQ(problemOf(headWith("Name: a\x01")), HeadProblem::FieldValue);
    EXPECT_EQ(problemOf(headWith("Name: a\rb")), HeadProblem::FieldValue);
    EXPECT_EQ(problemOf(headWith("Content-Length: 5x")), HeadProblem::BodyLength);
    EXPECT_EQ(problemOf(headWith("Content-Length: 5\r\nContent-Length: 6")), HeadProblem::BodyLength);
    EXPECT_EQ(problemOf(headWith("Content-Length: 5\r\nTransfer-Encoding: chunked")), HeadProblem::BodyLength);
    EXPECT_EQ(problemOf("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), HeadProblem::BodyLength);
}

// Guards against waiting for the end of a line that a server which sends something else may never send.
TEST(ResponseHead, ProblemsAreToldBeforeTheLineEnds)
{
    EXPECT_EQ(problemOf("hello"), HeadProblem::StatusLine);
    EXPECT_EQ(problemOf("HTTP/1.1 2x"), HeadProblem::StatusLine);
    EXPECT_EQ(problemOf("HTTP/1.1 200 O\x01"), HeadProblem::StatusLine);
    EXPECT_EQ(problemOf("HTTP/1.1 200 OK\r\nBad Na"), HeadProblem::FieldName);
    EXPECT_EQ(problemOf("HTTP/1.1 200 OK\r\nName: a\x01"), HeadProblem::FieldValue);
}

TEST(ResponseHead, StatusesAreOfOneKindOrOfNone)
{
    constexpr unsigned lastOfThreeDigits = 999;
    for (unsigned status = 0; status <= lastOfThreeDigits; ++status) {
        bool isNone = status < 100 || status == 101 || status > 599;
        EXPECT_EQ(isInterimStatus(status), !isNone && status < 200) << status;
        EXPECT_EQ(isFinalStatus(status), !isNone && status >= 200) << status;
        bool isProblem = problemOf(fmt::format("HTTP/1.1 {:03} Reason\r\n\r\n", status)) == HeadProblem::Status;
        EXPECT_EQ(isProblem, isNone) << status;
    }
}

TEST(ResponseHead, NoBrokenAnswerPasses)
{
    SoundAnswer sound = plainAnswerOf("Id: {id}\r\n");
    for (const auto& kinds : { answersWithBrokenStatus(sound), answersWithBrokenFields(sound),
             answersWithBrokenLength(sound.identity), answersThatEndInTheirHead(sound) }) {
        for (const BrokenAnswer& broken : kinds)
            EXPECT_FALSE(isFinalStatus(statusOf(broken.bytes))) << broken.what;
    }
}

// The verdict is the same however the head is cut on its way; bytes of the body change nothing.
RC_GTEST_PROP(ResponseHead, VerdictDoesNotDependOnHowItArrives, (const std::vector<uint8_t>& cuts))
{
    std::vector<std::string> texts;
    SoundAnswer sound = plainAnswerOf("Id: x\r\n");
    texts.push_back(sound.text());
    for (const BrokenAnswer& broken : answersWithBrokenFields(sound))
        texts.push_back(broken.bytes);
    for (const BrokenAnswer& broken : answersWithBrokenLength(sound.identity))
        texts.push_back(broken.bytes);
    const std::string& text = texts[*rc::gen::inRange<size_t>(0, texts.size())];
    Progress atOnce = check(text);
    ResponseHeadCheck inPieces;
    Progress progress;
    size_t size = 0;
    for (uint8_t cut : cuts) {
        size = std::min(text.size(), size + cut % 16);
        if (std::holds_alternative<ResponseHeadCheck::MoreNeeded>(progress))
            progress = inPieces.advance(std::string_view(text).substr(0, size));
    }
    if (std::holds_alternative<ResponseHeadCheck::MoreNeeded>(progress))
        progress = inPieces.advance(text);
    RC_ASSERT(progress.index() == atOnce.index());
    if (auto* problem = std::get_if<HeadProblem>(&atOnce))
        RC_ASSERT(std::get<HeadProblem>(progress) == *problem);
    if (auto* head = std::get_if<ResponseHeadCheck::Head>(&atOnce))
        RC_ASSERT(std::get<ResponseHeadCheck::Head>(progress).size == head->size);
}

// Whatever bytes arrive, the check ends with a verdict on no more than what it was given.
RC_GTEST_PROP(ResponseHead, AnyBytesGetAVerdict, (const std::string& bytes))
{
    for (const std::string& text : { bytes, "HTTP/1.1 200 OK\r\n" + bytes }) {
        Progress progress = check(text);
        if (auto* head = std::get_if<ResponseHeadCheck::Head>(&progress))
            RC_ASSERT(head->size <= text.size());
    }
}

} // namespace Kumquatpick
