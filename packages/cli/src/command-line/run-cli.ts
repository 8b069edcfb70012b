import { messageOf } from "@waxwingspread/common";
import { CliFailure, ExitCode } from "./cli-failure.js";
import type { CliIo } from "./cli-io.js";
import type { Command, CommandArguments } from "./command.js";
import { parseCommandLine } from "./parse-command-line.js";
import { Session } from "./session.js";

const runCommand = async (command: Command, values: CommandArguments, io: CliIo): Promise<ExitCode> => {
    const session = new Session(io, values);
    try {
        const result = await command.handle(session, values);
        if (result.isOk()) {
            session.print(result.value);
            return ExitCode.Ok;
        }
        session.printFailure(result.error);
        return result.error.exitCode;
    }
    catch (error) {
        session.printFailure(new CliFailure(ExitCode.Internal, `internal error: ${messageOf(error)}`));
        return ExitCode.Internal;
    }
    finally {
        session.close();
    }
};

/** Runs one command line and returns its exit code. Unexpected errors are printed, not thrown. */
export const runCli = async (argv: readonly string[], io: CliIo): Promise<ExitCode> => {
    const parsed = await parseCommandLine(argv);
    switch (parsed.kind) {
        case "run":
            return runCommand(parsed.command, parsed.values, io);
        case "text":
            io.writeOut(parsed.text);
            return ExitCode.Ok;
        case "fault":
            io.writeError(`${parsed.message}\nwaxwingspread --help lists commands and options\n`);
            return ExitCode.Usage;
    }
};
