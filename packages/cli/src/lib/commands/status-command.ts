import { Command } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { InstanceCommand } from './instance-command.js';

/** Body of an instance's answer to `GET /status`. */
interface Status {
  readonly state: string;
  readonly config: Readonly<Record<string, unknown>>;
  readonly members: readonly Readonly<Record<string, unknown>>[];
  readonly endpoints: readonly Readonly<Record<string, unknown>>[];
}

/** `chervilseam status`: shows the state of an instance. */
export class StatusCommand extends InstanceCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description:
      'Shows the state of an instance, with the configuration, members and endpoints it knows.',
  });

  protected override async run(): Promise<number> {
    const status = await this.callInstance<Status>('GET', 'status');
    if (this.output === 'json') {
      this.context.stdout.write(`${JSON.stringify(status, null, 2)}\n`);
      return ExitCode.ok;
    }
    this.print([{ state: status.state, ...status.config }]);
    this.print(
      status.members.map(({ name, failureDomain, state }) => ({ name, failureDomain, state })),
    );
    this.print(status.endpoints);
    return ExitCode.ok;
  }
}
