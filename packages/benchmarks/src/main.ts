process.stdout.write('no benchmarks yet\n');
