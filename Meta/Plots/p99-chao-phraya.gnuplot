# p99 first token (ms) of each policy in each case, chao-phraya
load 'Meta/Plots/histogram.gp'
set output ARG2
set title 'chao-phraya'
set ylabel 'p99 first token (ms)'
plot for [column=2:7] ARG1 using column:xtic(1) title columnheader
