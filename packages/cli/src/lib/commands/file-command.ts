import { readFile } from 'node:fs/promises';
import { formatFinding, parseConfig, sharedKeyFindings } from '@chervilseam/model';
import { Option } from 'clipanion';
import { BaseCommand } from './base-command.js';

/** Base of the commands that read configuration files. */
export abstract class FileCommand extends BaseCommand {
  files = Option.Rest({ required: 1 });

  /**
   * Reads and validates all files and prints every finding to standard error.
   *
   * @returns the objects of all files, or `undefined` when there is any finding
   */
  protected async readFiles(): Promise<ReturnType<typeof parseConfig>['objects'] | undefined> {
    const reading = this.files.map(async (file) => parseConfig(file, await readFile(file, 'utf8')));
    const parsed = await Promise.all(reading);
    const findings = [...parsed.flatMap((file) => file.findings), ...sharedKeyFindings(parsed)];
    findings.forEach((finding) => this.context.stderr.write(`${formatFinding(finding)}\n`));
    return findings.length > 0 ? undefined : parsed.flatMap((file) => file.objects);
  }
}
