# What all histograms share.
set terminal svg size 1140,420 font 'sans-serif,12' background '#ffffff'
set datafile separator '\t'
set style data histogram
set style histogram clustered gap 1
set style fill solid 0.8 noborder
set key outside top horizontal center
set yrange [0:*]
set grid ytics
