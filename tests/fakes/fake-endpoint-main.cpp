#include "fake-endpoint.h"

#include <QCommandLineParser>
#include <QCoreApplication>

namespace
{

void addValue(QCommandLineParser &parser, const QString &name, const QString &description, const QString &initial)
{
    parser.addOption({name, description, QStringLiteral("VALUE"), initial});
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    QCommandLineParser parser;
    parser.addHelpOption();
    addValue(parser, QStringLiteral("port"), QStringLiteral("Port; 0: any."), QStringLiteral("0"));
    addValue(parser, QStringLiteral("name"), QStringLiteral("Name of the instance."), QStringLiteral("endpoint"));
    addValue(parser, QStringLiteral("stage"), QStringLiteral("Stage that it serves."), QStringLiteral("stage"));
    addValue(parser, QStringLiteral("slots"), QStringLiteral("Calls that run at a time."), QStringLiteral("8"));
    addValue(parser, QStringLiteral("tokens-per-second"), QStringLiteral("Of one call; 0: plain stage."),
             QStringLiteral("0"));
    addValue(parser, QStringLiteral("service-ms"), QStringLiteral("Prefill or service time."), QStringLiteral("5"));
    addValue(parser, QStringLiteral("prefix-cache"), QStringLiteral("Prefixes kept."), QStringLiteral("0"));
    addValue(parser, QStringLiteral("incarnation"), QStringLiteral("Incarnation id."), QStringLiteral("first"));
    parser.addOption({QStringLiteral("checks-fencing"), QStringLiteral("Refuse older fencing numbers.")});
    parser.process(application);

    masticlever::fakes::endpoint_options options;
    options.stage = parser.value(QStringLiteral("stage"));
    options.slotCount = parser.value(QStringLiteral("slots")).toInt();
    options.tokensPerSecond = parser.value(QStringLiteral("tokens-per-second")).toDouble();
    options.serviceMs = parser.value(QStringLiteral("service-ms")).toInt();
    options.prefixCacheSize = parser.value(QStringLiteral("prefix-cache")).toUInt();
    options.incarnation = parser.value(QStringLiteral("incarnation")).toUtf8();
    options.checksFencing = parser.isSet(QStringLiteral("checks-fencing"));
    masticlever::fakes::fake_endpoint endpoint(options);
    if (!endpoint.start(parser.value(QStringLiteral("port")).toUShort())) {
        return 1;
    }
    return QCoreApplication::exec();
}
