#include "command-line.h"

#include <QCoreApplication>

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    return masticlever::masticleverctl::runCommandLine(argc, argv);
}
