#include "fake-platform.h"

#include <QCommandLineParser>
#include <QCoreApplication>

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    QCommandLineParser parser;
    parser.addHelpOption();
    parser.addOption(
        {QStringLiteral("port"), QStringLiteral("Port; 0: any."), QStringLiteral("N"), QStringLiteral("0")});
    parser.addOption({QStringLiteral("retention-records"), QStringLiteral("Records that each log retains."),
                      QStringLiteral("N"), QStringLiteral("1000000")});
    parser.addOption({QStringLiteral("list-lag-ms"), QStringLiteral("Lag of the instance list."), QStringLiteral("N"),
                      QStringLiteral("0")});
    parser.process(application);

    masticlever::fakes::platform_options options;
    options.retentionRecords = parser.value(QStringLiteral("retention-records")).toLongLong();
    options.listLagMs = parser.value(QStringLiteral("list-lag-ms")).toLongLong();
    masticlever::fakes::fake_platform platform(options);
    if (!platform.start(parser.value(QStringLiteral("port")).toUShort())) {
        return 1;
    }
    return QCoreApplication::exec();
}
