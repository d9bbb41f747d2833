import { Command } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { InstanceCommand } from './instance-command.js';

interface Status {
  readonly state: string;
  readonly config: Readonly<Record<string, unknown>>;
  readonly members: readonly Readonly<Record<string, unknown>>[];
  readonly endpoints: readonly Readonly<Record<string, unknown>>[];
}

/** `chervilseam status` */
export class StatusCommand extends InstanceCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'Shows what an instance knows: configuration, members, endpoints.',
  });

  protected override async run(): Promise<number> {
    const status = await this.ask<Status>('GET', 'status');
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
